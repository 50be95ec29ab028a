package cregress

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crregistry"
	"camphorroad/core/crwarmup"
	"camphorroad/io/crclock"
	"camphorroad/io/crdialect"
)

// Guards against a late response of a process that has left, which closes the exit for the next one.
func TestLeavingEndsWithTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newTestExit(t, http.NotFoundHandler())
	first := crregistry.Record{Target: "t1", Service: "s1", Slots: 20, StartedMillis: 1}
	second := first
	second.StartedMillis = 2
	leaving := crdialect.ResponseInfo{Leaving: true}
	x.SetTarget(&first)
	g.Expect(x.testOffer().Accepted).To(gomega.BeTrue())
	x.handleAnnouncements(crclock.Now(), first, leaving)
	g.Expect(x.testOffer().Accepted).To(gomega.BeFalse())
	g.Expect(x.LoadReport().Closed).To(gomega.BeTrue())
	x.SetTarget(&first)
	g.Expect(x.testOffer().Accepted).To(gomega.BeFalse(), "its record does not say that it leaves")
	x.SetTarget(&second)
	g.Expect(x.testOffer().Accepted).To(gomega.BeTrue())
	x.handleAnnouncements(crclock.Now(), first, leaving)
	g.Expect(x.testOffer().Accepted).To(gomega.BeTrue())
}

// Guards against requests that reach a limited target because the daemon beside it has started again.
func TestEntryTellsARestartedExitOfTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newTestExit(t, http.NotFoundHandler())
	record := crregistry.Record{Target: "t1", Service: "s1", Slots: 20}
	x.SetTarget(&record)
	offer := testOffer(true)
	offer.Limit = 2
	g.Expect(x.Offer(crclock.Now(), offer).Accepted).To(gomega.BeFalse())
	g.Expect(x.Announced()).To(gomega.Equal(Announced{Limit: 2, Refused: 1}))
	x.handleAnnouncements(crclock.Now(), record, crdialect.ResponseInfo{})
	g.Expect(x.Offer(crclock.Now(), offer).Accepted).To(gomega.BeTrue(), "a response is newer than what the entry knows")
}

// Guards against the limit of a process that has ended, which holds back requests to the next one.
func TestLimitEndsWithTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newTestExit(t, http.NotFoundHandler())
	first := crregistry.Record{Target: "t1", Service: "s1", Slots: 20, StartedMillis: 1}
	second := first
	second.StartedMillis = 2
	limited := crdialect.ResponseInfo{Limit: crdialect.Limit{Rate: 2}}
	x.SetTarget(&first)
	x.handleAnnouncements(crclock.Now(), first, limited)
	g.Expect(x.Announced().Limit).To(gomega.Equal(2.0))
	x.SetTarget(&second)
	x.handleAnnouncements(crclock.Now(), first, limited)
	g.Expect(x.Announced().Limit).To(gomega.BeZero())
}

// Guards against a health check of a process that has ended, which closes the exit for the next one.
func TestCheckOfAnEndedProcessDoesNotCloseTheNext(t *testing.T) {
	g := gomega.NewWithT(t)
	asked, respond := make(chan struct{}), make(chan struct{})
	x := newTestExit(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(asked)
		<-respond
		w.Header().Set("Server-Leaving", "1")
	}))
	first := crregistry.Record{Target: "t1", Service: "s1", Slots: 20, StartedMillis: 1}
	second := first
	second.StartedMillis = 2
	x.SetTarget(&first)
	x.SetWarmup(crwarmup.Params{Limit: 100, Duration: time.Second}, "/health")
	var wg sync.WaitGroup
	wg.Go(func() { x.checkWarmup(t.Context(), crclock.Now()) })
	<-asked
	x.SetTarget(&second)
	close(respond)
	wg.Wait()
	g.Expect(x.Announced().Leaving).To(gomega.BeFalse())
	g.Expect(x.testOffer().Accepted).To(gomega.BeTrue())
}
