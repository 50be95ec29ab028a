package cregress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crregistry"
	"camphorroad/core/crwarmup"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/platform"
)

// newTestExit returns an exit with one slot, whose target is the given handler.
func newTestExit(t *testing.T, target http.Handler) *Exit {
	t.Helper()
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	x := New(Options{
		Service: "s1", Address: strings.TrimPrefix(server.URL, "http://"), Dialect: platform.Dialect{}, Clock: crclock.Now,
		Log: crlog.New(io.Discard, "info", "test"), Crashes: crcrash.NewTracker(), OnTargetChange: func() {}, OnTargetEnd: func() {}, OnOffer: func(crid.Daemon) {},
	})
	t.Cleanup(x.pool.Close)
	x.SetWarmup(crwarmup.Params{}, "")
	x.SetTarget(&crregistry.Record{Target: "t1", Service: "s1", Slots: 1})
	return x
}

func testOffer(freeSlot bool) croffer.Offer {
	return croffer.Offer{
		Target: "t1", Service: "s1", Class: crpolicy.ClassOnce, TimeLeft: 2 * time.Second, ObjectiveLeft: time.Second, RouteObjective: time.Second,
		FreeSlot: freeSlot,
	}
}

func (x *Exit) testOffer() croffer.Reply { return x.Offer(crclock.Now(), testOffer(false)) }

var testRequest = croffer.Request{ID: "q1", Method: http.MethodGet, URI: "/", Host: "h", Header: map[string][]string{"Accept": {"*/*"}}, Wait: 2 * time.Second}

// Guards against a request that waits for a slot and reaches a target that is evacuated meanwhile.
func TestEvacuatedTargetGetsNothingThatIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	var received atomic.Int64
	block := make(chan struct{})
	x := newTestExit(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		<-block
		w.Header().Set("Response-Seal", "s")
	}))
	running := x.testOffer()
	results := make(chan croffer.Result, 2)
	go func() { results <- x.Run(t.Context(), running.Ticket, testRequest) }()
	g.Eventually(received.Load).Should(gomega.Equal(int64(1)))
	queued := x.testOffer()
	g.Expect(queued.Accepted).To(gomega.BeTrue())
	x.SetEvacuated(true)
	r := x.Run(t.Context(), queued.Ticket, testRequest)
	g.Expect(r.Outcome).To(gomega.Equal(croffer.NotSent))
	g.Expect(x.testOffer().Reason).To(gomega.Equal(reasonEvacuated))
	g.Expect(x.LoadReport().Closed).To(gomega.BeTrue())
	close(block)
	g.Expect((<-results).Outcome).To(gomega.Equal(croffer.Answered), "what was running ends")
	x.SetTarget(&crregistry.Record{Target: "t1", Service: "s1", Slots: 2})
	g.Expect(x.testOffer().Accepted).To(gomega.BeFalse(), "a new record ends no evacuation")
	x.SetEvacuated(false)
	g.Expect(x.testOffer().Accepted).To(gomega.BeTrue())
	g.Expect(received.Load()).To(gomega.Equal(int64(1)))
}

// Guards against a reservation that is used after the evacuation has begun.
func TestReservationMadeBeforeAnEvacuationIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newTestExit(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the target got a request") }))
	reply := x.testOffer()
	x.SetEvacuated(true)
	r := x.Run(t.Context(), reply.Ticket, testRequest)
	g.Expect(r.Outcome).To(gomega.Equal(croffer.NotSent))
	g.Expect(r.Reason).To(gomega.Equal(reasonEvacuated))
}

// Guards against a target that is taken back and flooded although it is cold.
func TestTargetThatIsTakenBackIsCheckedBeforeItsFullLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	var checks atomic.Int64
	x := newTestExit(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			checks.Add(1)
			w.Header().Set("Warmup-Milliseconds", "60000")
			return
		}
		w.Header().Set("Response-Seal", "s")
	}))
	x.SetWarmup(crwarmup.Params{Limit: 10, Duration: 3 * time.Second}, "/health")
	x.SetEvacuated(true)
	x.SetEvacuated(false)
	sent := 0
	for end := time.Now().Add(900 * time.Millisecond); time.Now().Before(end); {
		reply := x.Offer(crclock.Now(), testOffer(true))
		if reply.Accepted && x.Run(t.Context(), reply.Ticket, testRequest).Outcome == croffer.Answered {
			sent++
		}
		x.Tick(t.Context())
		time.Sleep(5 * time.Millisecond)
	}
	g.Eventually(checks.Load).Should(gomega.Equal(int64(1)))
	g.Expect(sent).To(gomega.And(gomega.BeNumerically(">=", 5), gomega.BeNumerically("<=", 9)), "the check counts as a request")
	g.Eventually(func() time.Duration { return x.gate.ColdFor(crclock.Now()) }).Should(gomega.BeNumerically(">", 50*time.Second))
}
