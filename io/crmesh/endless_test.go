package crmesh_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/lab/crtarget"
)

// Guards against a target without end in its responses that fails its callers' requests, and stays in use.
func TestTargetWithEndlessResponsesIsLeftAlone(t *testing.T) {
	for _, part := range crtarget.AllEndless() {
		t.Run(string(part), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(t, 3)
			bad := f.machines[0].target
			bad.SetBehaviour(crtarget.Behaviour{Endless: part})
			for range 30 {
				resp := f.machines[1].call(http.MethodGet, "/look/x", "k1")
				g.Expect(resp.status).To(gomega.Equal(http.StatusOK))
			}
			if part != crtarget.EndlessExtra { // its responses are complete
				g.Expect(len(bad.Runs())).To(gomega.BeNumerically("<=", 5))
			}
		})
	}
}

// Guards against callers that wait for a target which sends a response slowly and without end.
func TestTargetWithSlowEndlessResponsesIsLeftAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 3)
	bad := f.machines[0].target
	bad.SetBehaviour(crtarget.Behaviour{Endless: crtarget.EndlessBody, Pace: 20 * time.Millisecond})
	served := 0
	for range 20 {
		resp := f.machines[1].call(http.MethodGet, "/look/x", "k1")
		g.Expect(resp.took).To(gomega.BeNumerically("<", 1900*time.Millisecond), "the route's timeout is 1.5 s")
		if resp.status == http.StatusOK {
			served++
		}
	}
	g.Expect(served).To(gomega.BeNumerically(">=", 17))
	g.Expect(len(bad.Runs())).To(gomega.BeNumerically("<=", 5))
}
