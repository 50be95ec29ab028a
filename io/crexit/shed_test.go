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

// An upstream drains by itself and turns everything away. A hold that reaches it
// can not be tried elsewhere, and its caller is refused; each entry had to learn
// so by several of its own callers.
func TestHoldsAreKeptFromATargetThatOnlySheds(t *testing.T) {
	g := gomega.NewWithT(t)
	var draining atomic.Bool
	var asked atomic.Int64
	h := newHop(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		if draining.Load() {
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
	draining.Store(true)
	for range 2 {
		g.Expect(send(crpolicy.ClassOnce).Status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	asked.Store(0)
	for range 5 {
		held := send(crpolicy.ClassOnce)
		g.Expect(held.Kind).To(gomega.Equal(crhop.KindRefusal))
		g.Expect(held.NotRun).To(gomega.BeTrue())
		g.Expect(held.RetryAfter).NotTo(gomega.BeZero())
	}
	g.Expect(asked.Load()).To(gomega.BeZero())
	account = "another" // which the upstream might well serve
	g.Expect(send(crpolicy.ClassOnce).Kind).To(gomega.Equal(crhop.KindResponse))
	g.Expect(send(crpolicy.ClassOnce).Kind).To(gomega.Equal(crhop.KindRefusal), "two accounts were turned away")
	draining.Store(false)
	g.Expect(send(crpolicy.ClassRepeat).Status).To(gomega.Equal(http.StatusOK), "reads show that it is back")
	g.Expect(send(crpolicy.ClassOnce).Status).To(gomega.Equal(http.StatusOK))
}
