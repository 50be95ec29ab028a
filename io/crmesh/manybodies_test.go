package crmesh_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a daemon whose memory is filled by the bodies of many callers at once.
func TestBodiesOfManyCallersAreBounded(t *testing.T) {
	const (
		callers = 24
		size    = 8 << 20 // that each sends, of ten declared or in one chunk of ten
		held    = 64 << 20
	)
	for name, length := range map[string]string{"declared": "Content-Length: 10485760\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\na00000\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(t, 1)
			m := f.machines[0]
			f.store.Put("op/config", []byte(`{"version":"00000002","services":[{"name":"s1"}],"limits":{},"tenants":[{"name":"t1","api-keys":["k1"],"rate-per-s":500,"burst":500}],
"virtual-hosts":[{"host":"h.example","path-routes":[{"name":"slow","path-prefix":"/slow/","kind":"non_idempotent","timeout-ms":20000,"objective-latency-ms":1000,"priority":1,"service":"s1","max-attempts":2}]}]}`))
			g.Eventually(func() int { return m.call(http.MethodPost, "/slow/", "k1").status }, 4*time.Second, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK))
			var refused, others atomic.Int64
			var conns []net.Conn
			var done sync.WaitGroup
			for i := range callers {
				conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", m.cfg.Listen.Caller)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				conns = append(conns, conn)
				done.Go(func() {
					_, err := fmt.Fprintf(conn, "POST /slow/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: many-%s-%d\r\nDeadline-Milliseconds: 20000\r\nAuthorization: Bearer k1\r\n%s", name, i, length)
					if err == nil {
						_, _ = io.WriteString(conn, strings.Repeat("x", size)) // the daemon closes the connection of one that it refuses
					}
				})
				done.Go(func() {
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						return // the test closed the connection of a request that was held
					}
					defer func() { _ = resp.Body.Close() }()
					if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
						refused.Add(1)
					} else {
						others.Add(1)
					}
				})
			}
			g.Eventually(refused.Load, 10*time.Second, 50*time.Millisecond).Should(gomega.BeNumerically(">=", callers-held/size))
			g.Expect(m.call(http.MethodPost, "/slow/", "k1").status).To(gomega.Equal(http.StatusOK), "a small request meanwhile")
			g.Consistently(refused.Load, 300*time.Millisecond).Should(gomega.BeNumerically("<=", callers-held*3/4/size+1), "those that have room are held")
			g.Expect(others.Load()).To(gomega.BeZero())
			for _, conn := range conns {
				_ = conn.Close()
			}
			done.Wait()
			large := func() int { return m.send(http.MethodPost, "/slow/", "k1", strings.Repeat("x", size)).status }
			g.Eventually(large, 3*time.Second, 100*time.Millisecond).Should(gomega.Equal(http.StatusOK), "room is given back")
		})
	}
}
