package cradmin_test

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rcrowley/go-metrics"

	"camphorroad/io/cradmin"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMetricsInPrometheusTextFormat(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.NewRegisteredCounter("runs.failed.total", r).Inc(2)
	metrics.NewRegisteredFunctionalGauge("retries.total", r, func() int64 { return 7 })
	metrics.NewRegisteredFunctionalGauge("requests.inflight", r, func() int64 { return 3 })
	h := metrics.NewRegisteredHistogram("request.seconds", r, metrics.NewUniformSample(10))
	for _, ns := range []int64{1_000_000, 2_000_000, 3_000_000} {
		h.Update(ns)
	}
	w := httptest.NewRecorder()
	req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil)
	cradmin.New(cradmin.Options{Metrics: r}).ServeHTTP(w, req)
	const golden = "testdata/metrics.golden"
	if *update {
		if err := os.WriteFile(golden, w.Body.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if w.Code != http.StatusOK || w.Body.String() != string(want) {
		t.Errorf("status %d, page differs from %s:\n%s", w.Code, golden, w.Body)
	}
}
