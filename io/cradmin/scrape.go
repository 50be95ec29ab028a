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
	prefix      = "camphorroad_"
	contentType = "text/plain; version=0.0.4"
)

func scrape(c *gin.Context, registry metrics.Registry) {
	var b bytes.Buffer
	expose(&b, registry)
	c.Data(http.StatusOK, contentType, b.Bytes())
}

// expose writes the metrics as scrapers of text expositions read them, sorted by
// name. A gauge whose name ends with total is told as a counter; a histogram
// whose name ends with seconds holds nanoseconds and is told in seconds.
func expose(w io.Writer, registry metrics.Registry) {
	all := make(map[string]any)
	registry.Each(func(name string, m any) { all[exposed(name)] = m })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		switch m := all[name].(type) {
		case metrics.Counter:
			plain(w, name, "counter", m.Count())
		case metrics.Gauge:
			plain(w, name, kindOf(name), m.Value())
		case metrics.Histogram:
			summary(w, name, m.Snapshot())
		}
	}
}

func exposed(name string) string {
	return prefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func kindOf(name string) string {
	if strings.HasSuffix(name, "_total") {
		return "counter"
	}
	return "gauge"
}

func plain(w io.Writer, name, kind string, value int64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %d\n", name, kind, name, value)
}

func summary(w io.Writer, name string, h metrics.Histogram) {
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
