package crcrash_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
)

const start = crid.Instant(time.Hour)

func key(uri string) crcrash.Key {
	return crcrash.KeyOf(crcrash.Content{Account: "a", Method: "GET", URI: uri})
}

func end(daemon string, n int64) crcrash.End {
	return crcrash.End{Daemon: crid.Daemon(daemon), AtMillis: n}
}

func TestKeyTellsContentsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	base := crcrash.Content{Account: "a", Method: "GET", Host: "h", URI: "/x", Body: []byte("b")}
	same := base
	g.Expect(crcrash.KeyOf(same)).To(gomega.Equal(crcrash.KeyOf(base)))
	long := make([]byte, 1<<20)
	for name, other := range map[string]crcrash.Content{
		"account":      {Account: "b", Method: "GET", Host: "h", URI: "/x", Body: []byte("b")},
		"method":       {Account: "a", Method: "PUT", Host: "h", URI: "/x", Body: []byte("b")},
		"host":         {Account: "a", Method: "GET", Host: "i", URI: "/x", Body: []byte("b")},
		"path":         {Account: "a", Method: "GET", Host: "h", URI: "/y", Body: []byte("b")},
		"body":         {Account: "a", Method: "GET", Host: "h", URI: "/x", Body: []byte("c")},
		"shifted text": {Account: "aG", Method: "ET", Host: "h", URI: "/x", Body: []byte("b")},
	} {
		g.Expect(crcrash.KeyOf(other)).NotTo(gomega.Equal(crcrash.KeyOf(base)), name)
	}
	g.Expect(crcrash.KeyOf(crcrash.Content{Body: long})).NotTo(gomega.Equal(crcrash.KeyOf(crcrash.Content{Body: long[1:]})))
}

// Guards against a request that ends one process after the other.
func TestRequestIsBlockedAfterThreeEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := crcrash.NewTracker()
	for n := range int64(crcrash.MaxEnds) {
		_, blocked := tr.Blocked(start, key("/x"))
		g.Expect(blocked).To(gomega.BeFalse())
		tr.RecordEnd(start, key("/x"), end("d", n))
		tr.RecordEnd(start, key("/x"), end("d", n))
	}
	wait, blocked := tr.Blocked(start.Add(time.Second), key("/x"))
	g.Expect(blocked).To(gomega.BeTrue())
	g.Expect(wait).To(gomega.Equal(59 * time.Second))
	g.Expect(tr.BlockedCount(start)).To(gomega.Equal(1))
	_, blocked = tr.Blocked(start, key("/y"))
	g.Expect(blocked).To(gomega.BeFalse())
}

// Guards against a repaired service that never gets a request again, and against one that is still broken.
func TestBlockedRequestIsTriedAgainLater(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := crcrash.NewTracker()
	for n := range int64(crcrash.MaxEnds) {
		tr.RecordEnd(start, key("/x"), end("d", n))
	}
	later := start.Add(61 * time.Second)
	_, blocked := tr.Blocked(later, key("/x"))
	g.Expect(blocked).To(gomega.BeFalse())
	tr.RecordEnd(later, key("/x"), end("d", 9))
	_, blocked = tr.Blocked(later, key("/x"))
	g.Expect(blocked).To(gomega.BeTrue(), "one more end is enough")
	tr.RecordAnswer(later.Add(time.Minute), key("/x"))
	tr.RecordEnd(later.Add(time.Minute), key("/x"), end("d", 10))
	_, blocked = tr.Blocked(later.Add(time.Minute), key("/x"))
	g.Expect(blocked).To(gomega.BeFalse(), "an answer clears the ends before it")
}

// Guards against a request that is blocked for ends which lie hours apart.
func TestEndsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := crcrash.NewTracker()
	for n := range int64(2 * crcrash.MaxEnds) {
		now := start.Add(time.Duration(n) * 11 * time.Minute)
		tr.RecordEnd(now, key("/x"), end("d", n))
		_, blocked := tr.Blocked(now, key("/x"))
		g.Expect(blocked).To(gomega.BeFalse())
	}
}

// Guards against requests of many callers that are blocked because several targets ended for another reason.
func TestReportsDoNotBlockARequestThatIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := crcrash.NewTracker()
	tr.RecordAnswer(start, key("/popular"))
	for n := range int64(5) {
		tr.RecordReport(start.Add(time.Second), key("/popular"), end("d"+strconv.FormatInt(n, 10), 1))
	}
	_, blocked := tr.Blocked(start.Add(time.Second), key("/popular"))
	g.Expect(blocked).To(gomega.BeFalse())
	for n := range int64(3) {
		tr.RecordReport(start.Add(20*time.Second), key("/popular"), end("d"+strconv.FormatInt(n, 10), 2))
	}
	_, blocked = tr.Blocked(start.Add(20*time.Second), key("/popular"))
	g.Expect(blocked).To(gomega.BeTrue(), "without answers for a while")
}

// Guards against callers that fill the memory of a daemon.
func TestSuspectsAndAnswersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := crcrash.NewTracker()
	for n := range 5000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		tr.RecordEnd(now, key("/x"+strconv.Itoa(n)), end("self", int64(n)))
		tr.RecordAnswer(now, key("/y"+strconv.Itoa(n)))
	}
	remembered := 0
	for n := range 5000 {
		remembered += tr.Ends(key("/x" + strconv.Itoa(n)))
	}
	g.Expect(remembered).To(gomega.Equal(1024))
	g.Expect(len(tr.Reports(start.Add(5*time.Second), "self"))).To(gomega.BeNumerically("<=", 8))
}

func TestReportsNameTheWorstRequestsOfTheOwnTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := crcrash.NewTracker()
	tr.RecordReport(start, key("/innocent"), end("self", 5))
	tr.RecordReport(start, key("/fatal"), end("self", 5))
	tr.RecordReport(start, key("/fatal"), end("other", 4))
	g.Expect(tr.Reports(start, "self")).To(gomega.Equal([]crcrash.Report{{Key: key("/fatal"), AtMillis: 5}, {Key: key("/innocent"), AtMillis: 5}}))
	g.Expect(tr.Reports(start.Add(time.Minute), "self")).To(gomega.BeEmpty())
}

// service plays a service whose targets end when they get a fatal request. The daemon beside the
// target reports its latest ends to each other daemon up to 0.3 s later, and again each second.
type service struct {
	rng      *rand.Rand
	trackers []*crcrash.Tracker // of the daemons, one beside each target
	downTill []crid.Instant
	queue    []heartbeat
	lost     float64
	ends     int64
}

type heartbeat struct {
	due      crid.Instant
	from, to int
}

func newService(seed uint64, size int, lost float64) *service {
	s := &service{rng: rand.New(rand.NewPCG(seed, 11)), trackers: make([]*crcrash.Tracker, size), downTill: make([]crid.Instant, size), lost: lost} //nolint:gosec // a test must be reproducible
	for i := range s.trackers {
		s.trackers[i] = crcrash.NewTracker()
	}
	return s
}

func name(i int) string { return "d" + strconv.Itoa(i) }

// attempt sends a request through an entry to up to two targets. Three others run there beside it.
func (s *service) attempt(now crid.Instant, entry int, k crcrash.Key, fatal bool) {
	s.deliver(now)
	for range 2 {
		target := s.rng.IntN(len(s.trackers))
		if _, blocked := s.trackers[entry].Blocked(now, k); blocked || now < s.downTill[target] {
			return
		}
		if !fatal {
			s.trackers[entry].RecordAnswer(now, k)
			return
		}
		s.ends++
		s.downTill[target] = now.Add(time.Second)
		e := end(name(target), s.ends)
		s.trackers[entry].RecordEnd(now, k, e)
		for _, k := range []crcrash.Key{s.innocent(), s.innocent(), s.innocent(), k} {
			s.trackers[target].RecordReport(now, k, e)
		}
		for to := range s.trackers {
			s.queue = append(s.queue, heartbeat{due: now.Add(time.Duration(s.rng.IntN(300)) * time.Millisecond), from: target, to: to})
		}
	}
}

// deliver delivers the heartbeats that are due; a lost one is replaced by the next.
func (s *service) deliver(now crid.Instant) {
	var left []heartbeat
	for _, hb := range s.queue {
		switch {
		case now < hb.due:
			left = append(left, hb)
		case s.rng.Float64() < s.lost:
			left = append(left, heartbeat{due: now.Add(time.Second), from: hb.from, to: hb.to})
		default:
			for _, r := range s.trackers[hb.from].Reports(now, crid.Daemon(name(hb.from))) {
				s.trackers[hb.to].RecordReport(now, r.Key, end(name(hb.from), r.AtMillis))
			}
		}
	}
	s.queue = left
}

// innocent returns one of 100 requests that many callers send.
func (s *service) innocent() crcrash.Key { return key("/" + strconv.Itoa(s.rng.IntN(100))) }

// Guards against a fatal request that ends many targets through many entries, and against others that are blocked with it.
func TestFatalRequestEndsFewTargetsAndOthersAreServed(t *testing.T) {
	for seed := range uint64(200) {
		s := newService(seed, 30, 0.1)
		fatal := key("/fatal")
		for n := range 200 {
			now := start.Add(time.Duration(n) * 250 * time.Millisecond)
			s.attempt(now, s.rng.IntN(30), fatal, true)
			s.attempt(now, s.rng.IntN(30), s.innocent(), false)
		}
		if s.ends > 2*crcrash.MaxEnds { // those on the way to the other entries count
			t.Errorf("seed %d: %d processes ended", seed, s.ends)
		}
		for i, tr := range s.trackers {
			if n := tr.BlockedCount(start.Add(50 * time.Second)); n > 1 {
				t.Errorf("seed %d: daemon %d blocks %d requests", seed, i, n)
			}
		}
	}
}
