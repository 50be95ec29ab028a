package crforward

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// retention is the LedgerParams.Retention of the simulated exit. The RevokeWindow
// of its entry is shorter.
const retention = 3 * time.Second

// op is one step of the simulation; pick selects what the step acts on.
type op struct{ kind, pick int }

var opsGenerator = rapid.Custom(func(t *rapid.T) []op {
	n := rapid.IntRange(20, 150).Draw(t, "n")
	ops := make([]op, n)
	for i := range ops {
		v := rapid.Uint32().Draw(t, "op")
		ops[i] = op{kind: int(v % 16), pick: int(v >> 8)}
	}
	return ops
})

// frame is a message on a link, in either direction.
type frame struct {
	attempt int
	sentAt  crid.Instant
	revoke  bool
	sentOn  SessionID
	record  func(tr *Tracker, n int, now crid.Instant)
}

type link struct {
	session SessionID
	ledger  *Ledger // nil after a restart of the exit
	toExit  []frame
	toEntry []frame
	waiting []int
	running []int
}

type simAttempt struct {
	request, number int
	link            *link
	sentAt          crid.Instant
	exitDeadline    crid.Instant // on the exit's clock
}

type simRequest struct {
	class    crpolicy.Class
	tracker  *Tracker
	reported Outcome
	runs     int
}

// simulation is one entry, one exit that may pause and restart, and the
// sessions between them, whose frames are lost, duplicated, reordered and
// delayed.
type simulation struct {
	now             crid.Instant
	detector        *PauseDetector
	resumedAt       crid.Instant // end of the exit's last pause
	links           []*link
	requests        []*simRequest
	attempts        []*simAttempt
	disabled        disabledGuards
	disabledTracker disabledTrackerGuards
	violation       error
}

func runSimulation(ops []op, disabled disabledGuards, disabledTracker disabledTrackerGuards) error {
	s := &simulation{now: opened, detector: NewPauseDetector(time.Second, opened), disabled: disabled, disabledTracker: disabledTracker}
	s.openSession()
	for _, o := range ops {
		s.step(o)
		if s.violation != nil {
			return s.violation
		}
	}
	return nil
}

func (s *simulation) step(o op) {
	l := s.links[o.pick%len(s.links)]
	switch o.kind {
	case 0, 1:
		s.sendAttempt(o.pick)
	case 2, 3, 4:
		s.deliverToExit(l, o.pick)
	case 5, 6:
		s.start(l, o.pick)
	case 7:
		s.finish(l, o.pick)
	case 8, 9:
		s.deliverToEntry(l, o.pick)
	case 10:
		s.giveUp(o.pick)
	case 11:
		s.reportOutcome(o.pick)
	case 12:
		s.now = s.now.Add(300 * time.Millisecond)
		s.detector.Tick(s.now)
	case 13: // the exit is paused; its ticker may or may not run first
		s.now = s.now.Add(2 * time.Second)
		s.resumedAt = s.now
		if o.pick&1 == 0 {
			s.detector.Tick(s.now)
		}
	case 14:
		s.restart(o.pick)
	case 15:
		s.dropFrame(l, o.pick)
	}
}

func (s *simulation) openSession() {
	l := &link{session: SessionID(len(s.links) + 1)}
	params := LedgerParams{MaxPending: 4, MaxFences: 4, MaxRecords: 64, Retention: retention}
	l.ledger = NewLedger(params, l.session, s.now, s.detector)
	l.ledger.disabled = s.disabled
	s.links = append(s.links, l)
}

// sendAttempt sends a new request, or retries one if that is allowed.
func (s *simulation) sendAttempt(pick int) {
	n := pick % (len(s.requests) + 1)
	if n == len(s.requests) {
		r := &simRequest{class: crpolicy.Class(1 + pick>>4&1)}
		r.tracker = NewTracker(r.class, TrackerParams{MaxAttempts: 3, RevokeWindow: retention - time.Second})
		r.tracker.disabled = s.disabledTracker
		s.requests = append(s.requests, r)
	}
	r := s.requests[n]
	if r.reported != 0 || !r.tracker.MayRetry() {
		return
	}
	l := s.links[len(s.links)-1]
	a := &simAttempt{request: n, number: r.tracker.Begin(), link: l, sentAt: s.now}
	r.tracker.Sent(a.number, s.now)
	s.attempts = append(s.attempts, a)
	l.toExit = append(l.toExit, frame{attempt: len(s.attempts) - 1, sentAt: s.now})
}

// takeFrame removes a frame, or returns a copy and leaves the frame on the
// link.
func takeFrame(frames *[]frame, pick int) (frame, bool) {
	if len(*frames) == 0 {
		return frame{}, false
	}
	i := (pick >> 4) % len(*frames)
	f := (*frames)[i]
	if pick&3 != 0 {
		*frames = append((*frames)[:i:i], (*frames)[i+1:]...)
	}
	return f, true
}

func (s *simulation) deliverToExit(l *link, pick int) {
	f, ok := takeFrame(&l.toExit, pick)
	if !ok || l.ledger == nil {
		return
	}
	if f.revoke {
		v := l.ledger.Revoke(attemptID(f.attempt), f.sentOn, s.now)
		s.reply(l, f.attempt, func(tr *Tracker, n int, now crid.Instant) { tr.RevokeResult(n, v, now) })
		return
	}
	// A session delivers a forward once. Copies come from an entry that writes
	// it twice, and arrive within the exit's retention.
	if s.now.Sub(f.sentAt) > retention {
		return
	}
	a := s.attempts[f.attempt]
	exitDeadline := s.now.Add(500 * time.Millisecond)
	if err := l.ledger.Register(attemptID(f.attempt), s.requests[a.request].class, s.now, exitDeadline); err != nil {
		s.refuse(l, f.attempt, err)
		return
	}
	a.exitDeadline = exitDeadline
	l.waiting = append(l.waiting, f.attempt)
}

func (s *simulation) refuse(l *link, n int, err error) {
	var refusal *Refusal
	notRun := errors.As(err, &refusal) && refusal.NotRun()
	s.reply(l, n, func(tr *Tracker, n int, _ crid.Instant) { tr.Refused(n, notRun, 0) })
}

func (s *simulation) reply(l *link, n int, record func(*Tracker, int, crid.Instant)) {
	l.toEntry = append(l.toEntry, frame{attempt: n, record: record})
}

func (s *simulation) start(l *link, pick int) {
	if len(l.waiting) == 0 || l.ledger == nil {
		return
	}
	i := pick % len(l.waiting)
	n := l.waiting[i]
	l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
	if err := l.ledger.Start(attemptID(n), s.now); err != nil {
		s.refuse(l, n, err)
		return
	}
	l.running = append(l.running, n)
	a := s.attempts[n]
	r := s.requests[a.request]
	r.runs++
	switch {
	case r.class == crpolicy.ClassOnce && r.runs > 1:
		s.violation = fmt.Errorf("request %d of class once ran twice", a.request)
	case r.reported == OutcomeNotRun:
		s.violation = fmt.Errorf("request %d ran after it was reported as notrun", a.request)
	case !s.now.Before(a.exitDeadline):
		s.violation = fmt.Errorf("request %d was started after its deadline", a.request)
	case a.sentAt < s.resumedAt:
		s.violation = fmt.Errorf("request %d was sent before a pause and started after it", a.request)
	}
}

func (s *simulation) finish(l *link, pick int) {
	if len(l.running) == 0 || l.ledger == nil {
		return
	}
	i := pick % len(l.running)
	n := l.running[i]
	l.running = append(l.running[:i:i], l.running[i+1:]...)
	l.ledger.Finish(attemptID(n), s.now)
	s.reply(l, n, func(tr *Tracker, n int, _ crid.Instant) { tr.ResponseStarted(n); tr.ResponseReceived(n) })
}

func (s *simulation) deliverToEntry(l *link, pick int) {
	if f, ok := takeFrame(&l.toEntry, pick); ok {
		a := s.attempts[f.attempt]
		f.record(s.requests[a.request].tracker, a.number, s.now)
	}
}

// giveUp ends the entry's wait for an attempt and sends a revocation over the
// newest session.
func (s *simulation) giveUp(pick int) {
	if len(s.attempts) == 0 {
		return
	}
	n := pick % len(s.attempts)
	a := s.attempts[n]
	s.requests[a.request].tracker.Failed(a.number)
	l := s.links[len(s.links)-1]
	l.toExit = append(l.toExit, frame{attempt: n, revoke: true, sentOn: a.link.session})
}

func (s *simulation) reportOutcome(pick int) {
	if len(s.requests) == 0 {
		return
	}
	r := s.requests[pick%len(s.requests)]
	if r.reported == 0 {
		r.reported = r.tracker.Outcome()
	}
	if r.reported == OutcomeNotRun && r.runs > 0 {
		s.violation = fmt.Errorf("a request that ran was reported as notrun")
	}
}

// restart restarts the exit, or only opens a new session.
func (s *simulation) restart(pick int) {
	if pick&1 == 0 {
		for _, l := range s.links {
			l.ledger = nil
		}
		s.detector = NewPauseDetector(time.Second, s.now)
	}
	s.openSession()
}

func (s *simulation) dropFrame(l *link, pick int) {
	if pick&1 == 0 {
		takeFrame(&l.toExit, pick|3)
	} else {
		takeFrame(&l.toEntry, pick|3)
	}
}

// Frames are lost, duplicated, reordered or delayed, sessions break, and the exit pauses
// or restarts. No request of class once runs twice, and none that was reported as not run.
func TestForwardInvariants(t *testing.T) {
	for key, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "20000", "rapid.nofailfile": "true"} {
		gomega.NewWithT(t).Expect(flag.Set(key, value)).To(gomega.Succeed())
	}
	// The outcome "unknown" is allowed at every step.
	rapid.Check(t, func(t *rapid.T) {
		if err := runSimulation(opsGenerator.Draw(t, "ops"), disabledGuards{}, disabledTrackerGuards{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Each guard is disabled in turn. Some run must then violate an invariant, or else the
// simulation could not detect that the guard is broken.
func TestForwardInvariantsNeedEachGuard(t *testing.T) {
	cases := map[string]struct {
		disabled        disabledGuards
		disabledTracker disabledTrackerGuards
	}{
		"exit: duplicates":          {disabled: disabledGuards{dedup: true}},
		"exit: fences":              {disabled: disabledGuards{fence: true}},
		"exit: deadline":            {disabled: disabledGuards{deadline: true}},
		"exit: pause":               {disabled: disabledGuards{pause: true}},
		"exit: session":             {disabled: disabledGuards{session: true}},
		"entry: proof for retry":    {disabledTracker: disabledTrackerGuards{proof: true}},
		"entry: late revoke result": {disabledTracker: disabledTrackerGuards{revokeWindow: true}},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			var err error
			n := 0
			for ; n < 20000 && err == nil; n++ {
				err = runSimulation(opsGenerator.Example(n), c.disabled, c.disabledTracker)
			}
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
			t.Logf("run %d: %v", n, err)
		})
	}
}
