package crpath

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callers is how many requests are in flight while the capacity is looked for;
// more of them raise the latency and not the throughput.
const callers = 64

// capacity is the throughput of two hops in a closed loop, in requests a second.
// It is that of the whole machine, the load and other work on it included.
func (b *bench) capacity(ctx context.Context) (float64, error) {
	if _, err := b.saturate(ctx, warmUp); err != nil {
		return 0, err
	}
	return b.saturate(ctx, warmUp)
}

func (b *bench) saturate(ctx context.Context, length time.Duration) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	transport := &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var answered atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				if b.call(ctx, client) {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if answered.Load() == 0 {
		return 0, ErrNoCapacity
	}
	return float64(answered.Load()) / length.Seconds(), nil
}

func (b *bench) call(ctx context.Context, client *http.Client) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url(TwoHops)+"/kits/rover-7", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+b.account.Key())
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
