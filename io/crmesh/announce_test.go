package crmesh_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/lab/crtarget"
)

// mostRuns returns the greatest number of runs in any window that begins at an instant or later.
func mostRuns(runs []crtarget.Run, from time.Time, window time.Duration) int {
	most := 0
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.At) < window {
				n++
			}
		}
		if !first.At.Before(from) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against a target in need that gets more requests than the limit that it names.
func TestTargetGetsNoMoreThanTheLimitItNames(t *testing.T) {
	const (
		limit    = 2.5
		window   = 4 * time.Second
		highest  = 1.5*limit*4 + 5
		requests = 280
	)
	g := gomega.NewWithT(t)
	f := newFleet(t, 3)
	f.machines[0].target.SetLimit(limit)
	named := time.Now()
	failed := 0
	for i := range requests {
		if i == requests/2 {
			f.machines[0].shutDown()
			f.machines[0].start()
		}
		method, path := http.MethodGet, "/look/"
		if i%2 == 0 {
			method, path = http.MethodPost, "/hold/"
		}
		if f.machines[2-i%2].call(method, path, "k1").status != http.StatusOK {
			failed++
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(mostRuns(f.machines[0].target.Runs(), named.Add(time.Second), window)).To(gomega.BeNumerically("<=", highest))
	g.Expect(len(f.machines[0].target.Runs())).To(gomega.BeNumerically(">", 5), "it still gets what it takes")
	g.Expect(failed).To(gomega.BeNumerically("<=", 3))
	g.Expect(f.machines[0].log.String()).To(gomega.ContainSubstring(`"event":634`))
	g.Expect(f.machines[2].state()).To(gomega.MatchRegexp(`"told": {\s+"i-0": {\s+"limit": 2.5,\s+"leaving": false`))
}

// Guards against requests to a target that says in its responses that it leaves, while its record says nothing of it.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 3)
	f.machines[0].target.SetLeaving()
	for range 30 {
		g.Expect(f.machines[2].call(http.MethodPost, "/hold/", "k1").status).To(gomega.Equal(http.StatusOK))
	}
	told := len(f.machines[0].target.Runs())
	g.Expect(told).To(gomega.BeNumerically(">", 0))
	f.machines[0].shutDown()
	f.machines[0].start()
	g.Eventually(f.machines[0].ready, 5*time.Second, 20*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	until := time.Now().Add(2500 * time.Millisecond)
	for ; time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		g.Expect(f.machines[2].call(http.MethodPost, "/hold/", "k1").status).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(f.machines[0].target.Runs()).To(gomega.HaveLen(told))
	g.Expect(f.machines[0].log.String()).To(gomega.ContainSubstring(`"event":635`))
	g.Expect(f.machines[2].state()).To(gomega.MatchRegexp(`"told": {\s+"i-0": {\s+"limit": 0,\s+"leaving": true`))
}
