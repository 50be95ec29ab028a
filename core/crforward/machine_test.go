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

// retain is how long the machine's exit remembers; its entry trusts for less.
const retain = 3 * time.Second

// op is one step of the machine; pick chooses among what the step may act on.
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
	try    int
	sentAt crid.Instant
	revoke bool
	sentOn SessionID
	answer func(tr *Tracker, n int, now crid.Instant)
}

type link struct {
	session SessionID
	ledger  *Ledger // nil once the exit has restarted
	toExit  []frame
	toEntry []frame
	waiting []int
	running []int
}

type try struct {
	request, number int
	link            *link
	sentAt          crid.Instant
	deadline        crid.Instant // at the exit
}

type request struct {
	class   crpolicy.Class
	tracker *Tracker
	told    Outcome
	ran     int
}

// world is one entry, one exit that may pause and restart, and the sessions
// between them, whose frames are lost, doubled, reordered and held up.
type world struct {
	now      crid.Instant
	pulse    *PauseDetector
	woken    crid.Instant // the end of the exit's last pause
	links    []*link
	requests []*request
	tries    []*try
	off      switches
	trackOff trackerSwitches
	fault    error
}

func runMachine(ops []op, off switches, trackOff trackerSwitches) error {
	w := &world{now: opened, pulse: NewPauseDetector(time.Second, opened), off: off, trackOff: trackOff}
	w.open()
	for _, o := range ops {
		w.step(o)
		if w.fault != nil {
			return w.fault
		}
	}
	return nil
}

func (w *world) step(o op) {
	l := w.links[o.pick%len(w.links)]
	switch o.kind {
	case 0, 1:
		w.begin(o.pick)
	case 2, 3, 4:
		w.reach(l, o.pick)
	case 5, 6:
		w.start(l, o.pick)
	case 7:
		w.finish(l, o.pick)
	case 8, 9:
		w.hear(l, o.pick)
	case 10:
		w.abandon(o.pick)
	case 11:
		w.tell(o.pick)
	case 12:
		w.now = w.now.Add(300 * time.Millisecond)
		w.pulse.Tick(w.now)
	case 13: // the exit is paused; its ticker may or may not run first
		w.now = w.now.Add(2 * time.Second)
		w.woken = w.now
		if o.pick&1 == 0 {
			w.pulse.Tick(w.now)
		}
	case 14:
		w.restart(o.pick)
	case 15:
		w.lose(l, o.pick)
	}
}

func (w *world) open() {
	l := &link{session: SessionID(len(w.links) + 1)}
	params := LedgerParams{MaxPending: 4, MaxFences: 4, MaxRecords: 64, Retention: retain}
	l.ledger = NewLedger(params, l.session, w.now, w.pulse)
	l.ledger.off = w.off
	w.links = append(w.links, l)
}

// begin sends a new request, or tries one again that may be.
func (w *world) begin(pick int) {
	n := pick % (len(w.requests) + 1)
	if n == len(w.requests) {
		r := &request{class: crpolicy.Class(1 + pick>>4&1)}
		r.tracker = NewTracker(r.class, TrackerParams{MaxAttempts: 3, RevokeWindow: retain - time.Second})
		r.tracker.off = w.trackOff
		w.requests = append(w.requests, r)
	}
	r := w.requests[n]
	if r.told != 0 || !r.tracker.MayRetry() {
		return
	}
	l := w.links[len(w.links)-1]
	a := &try{request: n, number: r.tracker.Begin(), link: l, sentAt: w.now}
	r.tracker.Sent(a.number, w.now)
	w.tries = append(w.tries, a)
	l.toExit = append(l.toExit, frame{try: len(w.tries) - 1, sentAt: w.now})
}

// take removes a frame, or leaves a copy of it on the link.
func take(frames *[]frame, pick int) (frame, bool) {
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

func (w *world) reach(l *link, pick int) {
	f, ok := take(&l.toExit, pick)
	if !ok || l.ledger == nil {
		return
	}
	if f.revoke {
		v := l.ledger.Revoke(name(f.try), f.sentOn, w.now)
		w.reply(l, f.try, func(tr *Tracker, n int, now crid.Instant) { tr.RevokeResult(n, v, now) })
		return
	}
	// A session delivers a forward once; copies come from an entry that writes
	// twice, and are bound by the time for which an exit remembers.
	if w.now.Sub(f.sentAt) > retain {
		return
	}
	a := w.tries[f.try]
	left := w.now.Add(500 * time.Millisecond)
	if err := l.ledger.Register(name(f.try), w.requests[a.request].class, w.now, left); err != nil {
		w.refuse(l, f.try, err)
		return
	}
	a.deadline = left
	l.waiting = append(l.waiting, f.try)
}

func (w *world) refuse(l *link, n int, err error) {
	var refusal *Refusal
	notRun := errors.As(err, &refusal) && refusal.NotRun()
	w.reply(l, n, func(tr *Tracker, n int, _ crid.Instant) { tr.Refused(n, notRun, 0) })
}

func (w *world) reply(l *link, n int, answer func(*Tracker, int, crid.Instant)) {
	l.toEntry = append(l.toEntry, frame{try: n, answer: answer})
}

func (w *world) start(l *link, pick int) {
	if len(l.waiting) == 0 || l.ledger == nil {
		return
	}
	i := pick % len(l.waiting)
	n := l.waiting[i]
	l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
	if err := l.ledger.Start(name(n), w.now); err != nil {
		w.refuse(l, n, err)
		return
	}
	l.running = append(l.running, n)
	a := w.tries[n]
	r := w.requests[a.request]
	r.ran++
	switch {
	case r.class == crpolicy.ClassOnce && r.ran > 1:
		w.fault = fmt.Errorf("request %d of class once ran twice", a.request)
	case r.told == OutcomeNotRun:
		w.fault = fmt.Errorf("request %d ran after its caller was told notrun", a.request)
	case !w.now.Before(a.deadline):
		w.fault = fmt.Errorf("request %d was started after its deadline", a.request)
	case a.sentAt < w.woken:
		w.fault = fmt.Errorf("request %d was sent before a pause and started after it", a.request)
	}
}

func (w *world) finish(l *link, pick int) {
	if len(l.running) == 0 || l.ledger == nil {
		return
	}
	i := pick % len(l.running)
	n := l.running[i]
	l.running = append(l.running[:i:i], l.running[i+1:]...)
	l.ledger.Finish(name(n), w.now)
	w.reply(l, n, func(tr *Tracker, n int, _ crid.Instant) { tr.ResponseStarted(n); tr.ResponseReceived(n) })
}

func (w *world) hear(l *link, pick int) {
	if f, ok := take(&l.toEntry, pick); ok {
		a := w.tries[f.try]
		f.answer(w.requests[a.request].tracker, a.number, w.now)
	}
}

// abandon lets the entry wait no longer and ask over its newest session.
func (w *world) abandon(pick int) {
	if len(w.tries) == 0 {
		return
	}
	n := pick % len(w.tries)
	a := w.tries[n]
	w.requests[a.request].tracker.Failed(a.number)
	l := w.links[len(w.links)-1]
	l.toExit = append(l.toExit, frame{try: n, revoke: true, sentOn: a.link.session})
}

func (w *world) tell(pick int) {
	if len(w.requests) == 0 {
		return
	}
	r := w.requests[pick%len(w.requests)]
	if r.told == 0 {
		r.told = r.tracker.Outcome()
	}
	if r.told == OutcomeNotRun && r.ran > 0 {
		w.fault = fmt.Errorf("a caller was told notrun of a request that ran")
	}
}

// restart ends the exit's life, or only the newest session.
func (w *world) restart(pick int) {
	if pick&1 == 0 {
		for _, l := range w.links {
			l.ledger = nil
		}
		w.pulse = NewPauseDetector(time.Second, w.now)
	}
	w.open()
}

func (w *world) lose(l *link, pick int) {
	if pick&1 == 0 {
		take(&l.toExit, pick|3)
	} else {
		take(&l.toEntry, pick|3)
	}
}

// Frames between entry and exit are lost, doubled, reordered and held up, the
// exit is paused and restarted, and sessions break, all at any step. A user sees
// at worst "unknown": never a filing that ran twice, or one that ran and "notrun".
func TestMachineHolds(t *testing.T) {
	for key, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "20000", "rapid.nofailfile": "true"} {
		gomega.NewWithT(t).Expect(flag.Set(key, value)).To(gomega.Succeed())
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := runMachine(opsGenerator.Draw(t, "ops"), switches{}, trackerSwitches{}); err != nil {
			t.Fatal(err)
		}
	})
}

// The same steps, with one guard taken out at a time: each time some run must
// break a promise, or the machine could not have found the fault.
func TestMachineNeedsEachGuard(t *testing.T) {
	cases := map[string]struct {
		off   switches
		track trackerSwitches
	}{
		"exit: duplicates":       {off: switches{dedup: true}},
		"exit: fences":           {off: switches{fence: true}},
		"exit: deadline":         {off: switches{deadline: true}},
		"exit: pause":            {off: switches{pause: true}},
		"exit: session":          {off: switches{session: true}},
		"entry: proof for retry": {track: trackerSwitches{proof: true}},
		"entry: late verdict":    {track: trackerSwitches{trust: true}},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			var err error
			n := 0
			for ; n < 20000 && err == nil; n++ {
				err = runMachine(opsGenerator.Example(n), c.off, c.track)
			}
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
			t.Logf("run %d: %v", n, err)
		})
	}
}
