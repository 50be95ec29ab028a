package crmesh_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/lab/crtarget"
)

const fatalPath = "/look/fatal"

// newCrashingFleet starts six daemons whose targets end when they get fatalPath.
func newCrashingFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, 6)
	for _, m := range f.machines {
		m.target.SetFatal(fatalPath, 400*time.Millisecond)
	}
	return f
}

// ends returns how often the targets have ended.
func (f *fleet) ends() (n int) {
	for _, m := range f.machines {
		n += m.target.Ends()
	}
	return n
}

// Guards against a request that ends the process of each target it is sent to, attempt after attempt.
func TestRequestThatEndsItsTargetsIsNotSentOn(t *testing.T) {
	const maxEnds = 3
	g := gomega.NewWithT(t)
	f := newCrashingFleet(t)
	for range 8 {
		resp := f.machines[0].call(http.MethodGet, fatalPath, "k1")
		g.Expect(resp.status).NotTo(gomega.Equal(http.StatusOK))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(f.ends()).To(gomega.BeNumerically("<=", maxEnds))
	g.Expect(f.machines[0].call(http.MethodGet, "/look/other", "k1").status).To(gomega.Equal(http.StatusOK))
}

// Guards against other entries that do not know of a request that ends its targets.
func TestRequestThatEndsItsTargetsIsKnownAtOtherEntries(t *testing.T) {
	const maxEnds = 3
	g := gomega.NewWithT(t)
	f := newCrashingFleet(t)
	for i := range 3 {
		f.machines[i].call(http.MethodGet, fatalPath, "k1")
		time.Sleep(300 * time.Millisecond)
	}
	g.Expect(f.ends()).To(gomega.BeNumerically("<=", maxEnds))
	resp := f.machines[5].call(http.MethodGet, fatalPath, "k1")
	g.Expect(resp.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(f.runs(resp.id)).To(gomega.BeEmpty(), "503 says that it has not run")
	g.Expect(resp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(f.ends()).To(gomega.BeNumerically("<=", maxEnds))
}

// Guards against ends that are forgotten since other targets answer the request, with an error or in full.
func TestAnswersOfOtherTargetsDoNotClearEnds(t *testing.T) {
	const maxEnds = 3
	for name, b := range map[string]crtarget.Behaviour{
		"errors":             {Error: 1},
		"some errors":        {Error: 0.4},
		"responses":          {},
		"hangs":              {Hang: 1},
		"resets":             {Reset: 1},
		"refusals":           {Shed: 1},
		"unsealed responses": {Unsealed: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newCrashingFleet(t)
			for _, m := range f.machines[:2] {
				m.target.SetFatal("", 0)
				m.target.SetBehaviour(b)
			}
			for range 24 {
				f.machines[0].call(http.MethodGet, fatalPath, "k1")
				time.Sleep(20 * time.Millisecond)
			}
			g.Expect(f.ends()).To(gomega.BeNumerically("<=", maxEnds))
		})
	}
}

// Guards against a request of many callers that is blocked because it runs beside one that ends targets.
func TestPopularRequestIsServedBesideOneThatEndsTargets(t *testing.T) {
	const popularPath = "/look/popular"
	g := gomega.NewWithT(t)
	f := newCrashingFleet(t)
	for _, m := range f.machines {
		m.target.SetBehaviour(crtarget.Behaviour{ServiceTime: 30 * time.Millisecond})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 2 * len(f.machines) {
		callers.Go(func() {
			for ctx.Err() == nil {
				f.machines[i%len(f.machines)].call(http.MethodGet, popularPath, "k1")
			}
		})
	}
	time.Sleep(time.Second)
	for range 12 {
		f.machines[0].call(http.MethodGet, fatalPath, "k1")
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	callers.Wait()
	g.Expect(f.ends()).To(gomega.BeNumerically("<=", 3))
	for _, m := range f.machines {
		g.Expect(m.call(http.MethodGet, popularPath, "k1").status).To(gomega.Equal(http.StatusOK), m.id)
	}
}
