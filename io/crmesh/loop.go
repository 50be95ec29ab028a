package crmesh

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplace"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
	"camphorroad/io/crwatch"
)

const (
	// tickEvery is the time between ticks of the control loop.
	tickEvery = 100 * time.Millisecond
	// pausedAfter is the time without a tick after which the process counts as
	// having been paused.
	pausedAfter = time.Second
	// eventsWaiting bounds the events that wait for the control loop.
	eventsWaiting = 1024
	// copyTimeout is how long fetching from a peer may take.
	copyTimeout = 600 * time.Millisecond
)

// loop owns the control state: the only goroutine that steps the reducer.
type loop struct {
	state  *crmesh.State
	events chan crevent.Event
	view   atomic.Pointer[crmesh.View]
	log    *crlog.Logger
}

func newLoop(opts Options, l *crlog.Logger) *loop {
	s := opts.Settings
	lp := &loop{
		state: crmesh.New(crmesh.Params{
			Self: crid.Daemon(s.Address), Domain: s.Domain, Service: s.Service, Address: s.Target, Seeds: seeds(s),
			LocalInterval: beatNear, RemoteInterval: beatFar, RecordGrace: s.Bounds.MissingRecordTTL(),
		}),
		events: make(chan crevent.Event, eventsWaiting),
		log:    l,
	}
	lp.view.Store(&crmesh.View{Size: 1, Confirmed: 1, Reachable: 1})
	return lp
}

// emit hands an event to the control loop. Beats and what only leads to beats are
// dropped when it lags, since the next one tells the same; all others wait.
func (l *loop) emit(ev crevent.Event) {
	switch ev.(type) {
	case crmesh.HeartbeatReceived, crmesh.TargetChanged, crmesh.OfferReceived, crmesh.TokenRequestUnanswered:
		select {
		case l.events <- ev:
		default:
		}
	default:
		l.events <- ev
	}
}

// run steps the reducer until the context ends.
func (l *loop) run(ctx context.Context, do func(crevent.Effect)) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	last := crclock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-l.events:
			l.step(ev, do)
		case <-ticker.C:
			now := crclock.Now()
			if gap := now.Sub(last); gap > pausedAfter {
				l.log.Event(crlog.MeshPaused, crlog.Fields{"gap": gap.Round(time.Millisecond).String()})
			}
			last = now
			l.step(crevent.Tick{Now: now}, do)
		}
	}
}

func (l *loop) step(ev crevent.Event, do func(crevent.Effect)) {
	for _, eff := range l.state.Step(ev) {
		do(eff)
	}
}

// perform carries an effect out.
func (d *daemon) perform(ctx context.Context) func(crevent.Effect) {
	return func(eff crevent.Effect) {
		switch eff := eff.(type) {
		case crmesh.PublishView:
			d.use(eff.View)
		case crmesh.SendHeartbeats:
			d.channel.Beat(eff.To, d.beat(eff))
		case crmesh.UpdateTarget:
			d.board.Report(eff.Target, eff.Status)
		case crmesh.Pull:
			go d.pull(ctx, eff.From)
		case crmesh.RenewWatches:
			d.follower.RestartWatches()
		}
	}
}

func (d *daemon) beat(eff crmesh.SendHeartbeats) crmesh.Heartbeat {
	told := d.exit.LoadReport()
	return crmesh.Heartbeat{
		Incarnation:      d.incarnation,
		Target:           d.exit.Target(),
		Load:             told.Load,
		Slots:            told.Slots,
		Sick:             uint8(told.UnhealthyProb * 255),
		TypicalMillis:    told.Typical.Milliseconds(),
		Closed:           told.Closed,
		Stopping:         eff.Stopping,
		StoreUnavailable: eff.StoreUnavailable,
		PlanVersion:      eff.PlanVersion,
		RecordRevision:   eff.RecordRevision,
	}
}

// pull fetches what a peer holds of the store.
func (d *daemon) pull(ctx context.Context, from crid.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var c crwatch.Update
	if err := d.peers.Fetch(ctx, from, d.follower.Revisions(), &c); err != nil {
		d.log.Event(crlog.PeerCopyFailed, crlog.Fields{"peer": string(from), "error": err.Error()})
		return
	}
	d.log.Event(crlog.CopiedFromPeer, crlog.Fields{
		"peer": string(from), "rev": strconv.FormatUint(uint64(c.RecordsRevision), 10),
	})
	if err := d.follower.Apply(c); err != nil {
		d.log.Event(crlog.PeerCopyFailed, crlog.Fields{"peer": string(from), "error": err.Error()})
	}
}

// use gives a view to traffic.
func (d *daemon) use(v *crmesh.View) {
	before := d.loop.view.Swap(v)
	d.entry.SetView(v)
	if !sameRecord(before, v) {
		d.exit.SetTarget(v.OwnRecord)
	}
	d.forget(v)
	d.logView(before, v)
}

func sameRecord(a, b *crmesh.View) bool {
	if a.OwnRecord == nil || b.OwnRecord == nil {
		return a.OwnRecord == b.OwnRecord
	}
	return *a.OwnRecord == *b.OwnRecord
}

// forget drops what is kept of targets and daemons that are gone.
func (d *daemon) forget(v *crmesh.View) {
	targets := make(map[crid.Target]bool)
	daemons := make(map[crid.Daemon]bool)
	for _, list := range v.Targets {
		for _, c := range list {
			targets[c.Target] = true
			daemons[c.Daemon] = true
		}
	}
	for _, id := range v.Live {
		daemons[id] = true
	}
	d.board.Retain(targets)
	d.peers.Retain(daemons)
}

func (d *daemon) logView(before, v *crmesh.View) {
	if v.Plan != before.Plan {
		d.log.Event(crlog.PlanApplied, crlog.Fields{"plan": v.Plan.Label()})
	}
	came, went := compare(before.Targets, v.Targets)
	if came+went != "" {
		d.log.Event(crlog.TargetsChanged, crlog.Fields{"came": came, "went": went})
	}
	if !slices.Equal(before.Readers, v.Readers) {
		d.log.Event(crlog.ReadersChanged, crlog.Fields{"readers": joined(v.Readers)})
	}
	if len(v.Silent) > len(before.Silent) {
		d.log.Event(crlog.PeerSilent, crlog.Fields{"peers": names(v.Silent)})
	}
	if len(v.Silent) < len(before.Silent) {
		d.log.Event(crlog.PeerRecovered, crlog.Fields{"silent": names(v.Silent)})
	}
}

func joined(daemons []crid.Daemon) string {
	list := make([]string, 0, len(daemons))
	for _, d := range daemons {
		list = append(list, string(d))
	}
	return strings.Join(list, " ")
}

func compare(before, after map[crid.Service][]crplace.Candidate) (came, went string) {
	had := set(before)
	has := set(after)
	return names(minus(has, had)), names(minus(had, has))
}

func set(by map[crid.Service][]crplace.Candidate) map[crid.Target]bool {
	out := make(map[crid.Target]bool)
	for _, list := range by {
		for _, c := range list {
			out[c.Target] = true
		}
	}
	return out
}
