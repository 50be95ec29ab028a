package crmesh

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"camphorroad/core/crcrash"
	"camphorroad/core/crevacuation"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplace"
	"camphorroad/core/crplan"
	"camphorroad/core/crwarmup"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
	"camphorroad/io/crwatch"
)

const (
	// tickInterval is the time between ticks of the control loop.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a tick after which the process is reported as
	// having been paused.
	pauseThreshold = time.Second
	// eventQueueSize bounds the queue of the control loop.
	eventQueueSize = 1024
	// pullTimeout bounds a fetch from a peer.
	pullTimeout = 600 * time.Millisecond
)

// loop owns the control state. Only the goroutine of its run method steps the reducer.
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
			LocalInterval: localHeartbeatInterval, RemoteInterval: remoteHeartbeatInterval, RecordGrace: s.Bounds.MissingRecordTTL(),
		}),
		events: make(chan crevent.Event, eventQueueSize),
		log:    l,
	}
	lp.view.Store(&crmesh.View{Size: 1, Confirmed: 1, Reachable: 1, ReadersPending: true})
	return lp
}

// emit queues an event for the control loop. While the queue is full, heartbeats and
// events that only cause heartbeats are dropped, since the next one carries the same
// state; all other events block.
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

// run steps the reducer until ctx is cancelled.
func (l *loop) run(ctx context.Context, do func(crevent.Effect)) error {
	ticker := time.NewTicker(tickInterval)
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
			if gap := now.Sub(last); gap > pauseThreshold {
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

// effectHandler returns the function that performs effects.
func (d *daemon) effectHandler(ctx context.Context) func(crevent.Effect) {
	return func(eff crevent.Effect) {
		switch eff := eff.(type) {
		case crmesh.PublishView:
			d.applyView(ctx, eff.View)
		case crmesh.SendHeartbeats:
			d.channel.SendHeartbeat(eff.To, d.heartbeat(eff))
		case crmesh.UpdateTarget:
			d.balancer.Report(eff.Target, eff.Report)
		case crmesh.RecordCrashes:
			now := crclock.Now()
			for _, r := range eff.Reports {
				d.crashes.RecordEnd(now, r.Key, crcrash.End{Daemon: eff.From, AtMillis: r.AtMillis})
			}
		case crmesh.Pull:
			go d.pull(ctx, eff.From)
		case crmesh.RenewWatches:
			d.renewWatches(eff)
		}
	}
}

func (d *daemon) renewWatches(eff crmesh.RenewWatches) {
	if eff.Missed {
		d.follower.RecordMissedChange()
		return
	}
	d.follower.RestartWatches()
}

func (d *daemon) heartbeat(eff crmesh.SendHeartbeats) crmesh.Heartbeat {
	report := d.exit.LoadReport()
	return crmesh.Heartbeat{
		Incarnation:        d.incarnation,
		Target:             d.exit.Target(),
		Load:               report.Load,
		Slots:              report.Slots,
		UnhealthyProb255:   uint8(report.UnhealthyProb * 255),
		TypicalMillis:      report.Typical.Milliseconds(),
		Closed:             report.Closed,
		Stopping:           eff.Stopping,
		StoreUnavailable:   eff.StoreUnavailable,
		PlanVersion:        eff.PlanVersion,
		RecordRevision:     eff.RecordRevision,
		EvacuationRevision: eff.EvacuationRevision,
		SilentMembers:      eff.SilentMembers,
		Unheard:            eff.Unheard,
		Crashes:            d.crashes.Reports(crclock.Now(), crid.Daemon(d.opts.Settings.Address)),
	}
}

// pull fetches records and configuration from a peer.
func (d *daemon) pull(ctx context.Context, from crid.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var update crwatch.Update
	if err := d.peers.Fetch(ctx, from, d.follower.Revisions(), &update); err != nil {
		d.log.Event(crlog.PeerCopyFailed, crlog.Fields{"peer": string(from), "error": err.Error()})
		return
	}
	d.log.Event(crlog.CopiedFromPeer, crlog.Fields{
		"peer": string(from), "rev": strconv.FormatUint(uint64(update.RecordsRevision), 10),
	})
	if err := d.follower.Apply(update); err != nil {
		d.log.Event(crlog.PeerCopyFailed, crlog.Fields{"peer": string(from), "error": err.Error()})
	}
}

// applyView puts a view into force for request handling.
func (d *daemon) applyView(ctx context.Context, v *crmesh.View) {
	before := d.loop.view.Swap(v)
	d.entry.SetView(v)
	d.exit.SetEvacuated(v.OwnEvacuated)
	if v.EvacuationEnd > before.EvacuationEnd {
		d.exit.EndEvacuation()
	}
	if v.Plan != before.Plan {
		d.applyWarmup(v.Plan)
	}
	if !sameRecord(before, v) {
		d.exit.SetTarget(v.OwnRecord)
	}
	if v.Plan != before.Plan || !sameRecord(before, v) {
		d.exit.Tick(ctx) // a target that has just been opened is checked before it is wanted
	}
	d.logView(before, v)
}

// applyWarmup passes on how targets of the own service behave while they are cold. A plan that names
// other services only is older than the service, or has dropped it: what was known of it holds on.
func (d *daemon) applyWarmup(p *crplan.Plan) {
	s := d.opts.Settings
	service, ok := p.Service(s.Service)
	if !ok && p.NamesServices() {
		return
	}
	d.exit.SetWarmup(crwarmup.NewParams(service.Warmup.Rate, s.Bounds.WarmupRatio, s.Bounds.WarmupSlack, service.Warmup.Duration), service.HealthPath)
}

func sameRecord(a, b *crmesh.View) bool {
	if a.OwnRecord == nil || b.OwnRecord == nil {
		return a.OwnRecord == b.OwnRecord
	}
	return *a.OwnRecord == *b.OwnRecord
}

// prune drops the state of targets and daemons that the view does not have, and idle
// connections.
func (d *daemon) prune(v *crmesh.View) {
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
	d.balancer.Retain(targets)
	d.peers.Retain(daemons)
}

func (d *daemon) logView(before, v *crmesh.View) {
	if v.Plan != before.Plan {
		d.log.Event(crlog.PlanApplied, crlog.Fields{"plan": v.Plan.Label()})
		for route, kind := range v.Plan.UnknownKinds() {
			d.log.Event(crlog.RouteKindUnknown, crlog.Fields{"plan": v.Plan.Label(), "route": string(route), "kind": kind})
		}
	}
	if v.TargetsVersion != before.TargetsVersion {
		added, removed := diffTargets(before.Targets, v.Targets)
		if added+removed != "" {
			d.log.Event(crlog.TargetsChanged, crlog.Fields{"came": added, "went": removed})
		}
	}
	if !slices.Equal(before.Evacuations, v.Evacuations) {
		d.log.Event(crlog.DomainsEvacuated, crlog.Fields{"domains": joinEvacuations(v.Evacuations)})
	}
	if !slices.Equal(before.Readers, v.Readers) {
		d.log.Event(crlog.ReadersChanged, crlog.Fields{"readers": joinDaemons(v.Readers)})
	}
	if len(v.Unresponsive) > len(before.Unresponsive) {
		d.log.Event(crlog.PeersUnresponsive, crlog.Fields{"peers": joinKeys(v.Unresponsive)})
	}
	if len(v.Unresponsive) < len(before.Unresponsive) {
		d.log.Event(crlog.PeersRecovered, crlog.Fields{"silent": joinKeys(v.Unresponsive)})
	}
}

func joinEvacuations(list []crevacuation.Evacuation) string {
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, string(e.Domain))
	}
	return strings.Join(names, " ")
}

func joinDaemons(daemons []crid.Daemon) string {
	list := make([]string, 0, len(daemons))
	for _, d := range daemons {
		list = append(list, string(d))
	}
	return strings.Join(list, " ")
}

func diffTargets(before, after map[crid.Service][]crplace.Candidate) (added, removed string) {
	old := targetSet(before)
	current := targetSet(after)
	return joinKeys(difference(current, old)), joinKeys(difference(old, current))
}

func targetSet(targets map[crid.Service][]crplace.Candidate) map[crid.Target]bool {
	out := make(map[crid.Target]bool)
	for _, list := range targets {
		for _, c := range list {
			out[c.Target] = true
		}
	}
	return out
}
