package cregress

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crpolicy"
	"camphorroad/io/crclock"
	"camphorroad/io/croffer"
)

// Guards against a request that may run once and has run, whose caller is told that it has not.
func TestStatusOfTargetIsNoPromiseThatRequestDidNotRun(t *testing.T) {
	for _, tt := range []struct {
		name    string
		class   crpolicy.Class
		status  int
		headers map[string]string
		want    croffer.Outcome
	}{
		{"429 to a request that may run once", crpolicy.ClassOnce, http.StatusTooManyRequests, nil, croffer.Unknown},
		{"503 to a request that may run once", crpolicy.ClassOnce, http.StatusServiceUnavailable, nil, croffer.Unknown},
		{"408 to a request that may run once", crpolicy.ClassOnce, http.StatusRequestTimeout, nil, croffer.Unknown},
		{"500 to a request that may run once", crpolicy.ClassOnce, http.StatusInternalServerError, nil, croffer.Answered},
		{"503 to a request that may run again", crpolicy.ClassRepeat, http.StatusServiceUnavailable, nil, croffer.Answered},
		{"503 of a target that has not run it", crpolicy.ClassOnce, http.StatusServiceUnavailable, map[string]string{"Not-Executed": "1"}, croffer.Rejected},
		{"421 of another target", crpolicy.ClassOnce, http.StatusMisdirectedRequest, nil, croffer.Rejected},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			x := newTestExit(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Response-Seal", "s")
				for name, value := range tt.headers {
					w.Header().Set(name, value)
				}
				w.WriteHeader(tt.status)
			}))
			offer := testOffer(false)
			offer.Class = tt.class
			reply := x.Offer(crclock.Now(), offer)
			g.Expect(reply.Accepted).To(gomega.BeTrue())
			result := x.Run(t.Context(), reply.Ticket, testRequest)
			g.Expect(result.Outcome).To(gomega.Equal(tt.want), result.Reason)
			if tt.want == croffer.Answered {
				g.Expect(result.Status).To(gomega.Equal(tt.status))
			}
		})
	}
}
