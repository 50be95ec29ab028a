package crdaemon

import (
	"errors"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"camphorroad/core/crid"
	"camphorroad/io/crclock"
	"camphorroad/io/crcontrol"
	"camphorroad/io/crentry"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := "testdata/" + name
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("differs from %s (go test -update rewrites it):\n%s", path, got)
	}
}

// Dashboards and alerts depend on the names of metrics.
func TestMetricNames(t *testing.T) {
	r := metrics.NewRegistry()
	newInstruments(r)
	entry := crentry.New(crentry.Options{Clock: crclock.Now})
	s := &shell{clock: crclock.Now, loop: crcontrol.New(nil, crcontrol.Options{Clock: crclock.Now})}
	gauges := slices.Concat(entryGauges(entry), s.gauges(crexit.New(crexit.Options{Clock: crclock.Now})), processGauges())
	if err := register(r, gauges); err != nil {
		t.Fatal(err)
	}
	var names []string
	r.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	compareGolden(t, "metrics.golden", strings.Join(names, "\n")+"\n")
	page, err := os.ReadFile("../../docs/operate/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if row := "| `camphorroad_" + strings.ReplaceAll(name, ".", "_") + "` |"; !strings.Contains(string(page), row) {
			t.Errorf("docs/operate/metrics.md does not describe %s", name)
		}
	}
	if heapBytes() == 0 {
		t.Error("heapBytes() = 0")
	}
}

// An aborted response ends in a panic. If it were not timed, the slowest requests
// would be missing from the latencies.
func TestAbortedRequestsAreTimed(t *testing.T) {
	m := newInstruments(metrics.NewRegistry())
	h := m.timeRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), crclock.Now)
	func() {
		defer func() {
			if err, ok := recover().(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				t.Errorf("recovered %v", err)
			}
		}()
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
	}()
	if m.request.Count() != 1 {
		t.Errorf("%d requests timed", m.request.Count())
	}
}

func TestFailedRunsAreCounted(t *testing.T) {
	m := newInstruments(metrics.NewRegistry())
	m.observeRun("t", "a", 0, http.StatusOK, time.Millisecond)
	m.observeRun("t", "a", 0, http.StatusBadGateway, time.Millisecond)
	m.observeRun("t", "a", crhop.FaultTimeout, 0, time.Millisecond)
	if m.run.Count() != 3 || m.failed.Count() != 2 {
		t.Errorf("%d runs, %d failed", m.run.Count(), m.failed.Count())
	}
}

func BenchmarkTimeRequests(b *testing.B) {
	m := newInstruments(metrics.NewRegistry())
	now := crid.Instant(0)
	h := m.timeRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), func() crid.Instant { now++; return now })
	for b.Loop() {
		h.ServeHTTP(nil, nil)
	}
}
