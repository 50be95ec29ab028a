package crexit_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crhop"
)

// A request of class once cannot be retried after its target has shed it. If the exit sent
// it, several callers of each entry would get an error before the entry avoids the target.
func TestOnceRequestsAreRefusedWhileTargetSheds(t *testing.T) {
	g := gomega.NewWithT(t)
	var shedding atomic.Bool
	var received atomic.Int64
	h := newHop(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		if shedding.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), service)
	n := uint64(0)
	account := crid.Account("a")
	send := func(class crpolicy.Class) crhop.Response {
		n++
		f := forward(n, class)
		f.Account = account
		ex, err := h.client.Forward(t.Context(), "exit", f, nil, func(*crhop.Handle) {})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = io.Copy(io.Discard, ex.Body)
		g.Expect(ex.Body.Close()).To(gomega.Succeed())
		return ex.Response
	}
	g.Expect(send(crpolicy.ClassOnce).Status).To(gomega.Equal(http.StatusOK))
	shedding.Store(true)
	for range 2 {
		g.Expect(send(crpolicy.ClassOnce).Status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	received.Store(0)
	for range 5 {
		resp := send(crpolicy.ClassOnce)
		g.Expect(resp.Kind).To(gomega.Equal(crhop.KindRefusal))
		g.Expect(resp.NotRun).To(gomega.BeTrue())
		g.Expect(resp.RetryAfter).NotTo(gomega.BeZero())
	}
	g.Expect(received.Load()).To(gomega.BeZero())
	account = "another" // the upstream may shed by account and serve this one
	g.Expect(send(crpolicy.ClassOnce).Kind).To(gomega.Equal(crhop.KindResponse))
	g.Expect(send(crpolicy.ClassOnce).Kind).To(gomega.Equal(crhop.KindRefusal), "requests of two accounts were shed")
	shedding.Store(false)
	g.Expect(send(crpolicy.ClassRepeat).Status).To(gomega.Equal(http.StatusOK), "a repeat request shows that the target has recovered")
	g.Expect(send(crpolicy.ClassOnce).Status).To(gomega.Equal(http.StatusOK))
}
