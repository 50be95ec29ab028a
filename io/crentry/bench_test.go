package crentry_test

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"camphorroad/core/crpolicy"
)

// BenchmarkPath measures a caller's whole request over three paths in one run: directly
// to the upstream, through an entry that calls the upstream directly, and through entry
// and exit. CPU time is that of the whole process, caller and upstream included.
func BenchmarkPath(b *testing.B) {
	addr := listenHTTP(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	raiseLimits := func(s *crpolicy.Service) { s.Slots, s.Queue, s.Connections = 256, 256, 0 }
	b.Run("upstream", func(b *testing.B) { load(b, addr) })
	b.Run("onehop", func(b *testing.B) { load(b, newHarness(&directPath{b}, addr, raiseLimits).addr) })
	b.Run("twohops", func(b *testing.B) { load(b, newHarness(b, addr, raiseLimits).addr) })
}

func load(b *testing.B, addr string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var all []time.Duration
	b.ReportAllocs()
	cpu := cpuTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var local []time.Duration
		for pb.Next() {
			start := time.Now()
			if err := call(b, client, addr); err != nil {
				b.Error(err)
				return
			}
			local = append(local, time.Since(start))
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, local...)
	})
	used := cpuTime(b) - cpu
	slices.Sort(all)
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99us")
	b.ReportMetric(float64(all[len(all)*999/1000].Microseconds()), "p999us")
}

func call(b *testing.B, client *http.Client, addr string) error {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+addr+"/kits", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+alphaKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
