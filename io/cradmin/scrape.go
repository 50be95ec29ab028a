package cradmin

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"
)

const (
	namePrefix  = "camphorroad_"
	contentType = "text/plain; version=0.0.4" // of the Prometheus text format
)

func serveMetrics(c *gin.Context, registry metrics.Registry) {
	var b bytes.Buffer
	writeMetrics(&b, registry)
	c.Data(http.StatusOK, contentType, b.Bytes())
}

// writeMetrics writes the metrics in the Prometheus text format, sorted by name. A
// gauge whose name ends with _total is written as a counter. A histogram whose
// name ends with _seconds contains nanoseconds and is written in seconds.
func writeMetrics(w io.Writer, registry metrics.Registry) {
	all := make(map[string]any)
	registry.Each(func(name string, m any) { all[exposedName(name)] = m })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		switch m := all[name].(type) {
		case metrics.Counter:
			writeValue(w, name, "counter", m.Count())
		case metrics.Gauge:
			writeValue(w, name, valueType(name), m.Value())
		case metrics.Histogram:
			writeSummary(w, name, m.Snapshot())
		}
	}
}

func exposedName(name string) string {
	return namePrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func valueType(name string) string {
	if strings.HasSuffix(name, "_total") {
		return "counter"
	}
	return "gauge"
}

func writeValue(w io.Writer, name, kind string, value int64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %d\n", name, kind, name, value)
}

func writeSummary(w io.Writer, name string, h metrics.Histogram) {
	unit := 1.0
	if strings.HasSuffix(name, "_seconds") {
		unit = float64(time.Second)
	}
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for _, q := range []float64{0.5, 0.9, 0.99} {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, h.Percentile(q)/unit)
	}
	_, _ = fmt.Fprintf(w, "%s_count %d\n", name, h.Count())
}
