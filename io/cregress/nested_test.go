package cregress

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/io/croffer"
)

// Guards against retries that make the calls again which a service without room has refused.
func TestAnswerTellsThatANestedCallWasRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		failed, refused bool
		status          int
		reason          string
	}{
		"refused call":             {failed: true, refused: true, status: http.StatusInternalServerError, reason: croffer.ReasonCallRefused},
		"failed call":              {failed: true, status: http.StatusInternalServerError},
		"no call":                  {status: http.StatusInternalServerError},
		"success without the call": {failed: true, refused: true, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var x *Exit
			x = newTestExit(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tc.failed {
					x.RecordNestedFailure("desk", tc.refused)
				}
				w.Header().Set("Response-Seal", "s")
				w.WriteHeader(tc.status)
			}))
			r := x.Run(t.Context(), x.testOffer().Ticket, testRequest)
			g.Expect(r.Outcome).To(gomega.Equal(croffer.Answered))
			g.Expect(r.Status).To(gomega.Equal(tc.status))
			g.Expect(r.Reason).To(gomega.Equal(tc.reason))
		})
	}
}
