// Package crcontrol runs the control loop of io/crdaemon: one goroutine owns the
// root reducer of core/crdaemon, applies events from a queue to it, and executes
// the resulting effects.
//
// # Usage
//
//	loop := crcontrol.New(root, crcontrol.Options{Clock: crclock.Now, Execute: execute})
//	go loop.Run(ctx)
//	err := loop.Post(ev)
//	dump, err := loop.Dump(ctx)
package crcontrol

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"camphorroad/core/crdaemon"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// TickInterval is the interval of [crevent.Tick].
const TickInterval = 50 * time.Millisecond

// queueCapacity is the maximum number of queued events. Messages beyond it are
// dropped: senders retransmit what is still relevant, while waiting for room would
// block the transport.
const queueCapacity = 4096

// ErrQueueFull is returned by Post if the event was dropped.
var ErrQueueFull = errors.New("control queue is full")

// Recorder records the events and effects of the reducers, for replay. The control
// goroutine calls it.
type Recorder interface {
	// Event is called before an event is applied.
	Event(ev crevent.Event)
	// Effects is called with the resulting effects, before they are executed.
	Effects(effects []crevent.Effect)
}

// Options configure a Loop.
type Options struct {
	Clock func() crid.Instant
	// Execute executes one effect. It must not block, and must not call Dump.
	Execute func(eff crevent.Effect)
	// Collect is called before each tick, and for each value on Wake. It returns the
	// counters of the request path as events. Nil: nothing is collected.
	Collect func(now crid.Instant) []crevent.Event
	// Wake triggers Collect without waiting for the next tick.
	Wake <-chan struct{}
	// Recorder records each event and its effects. Nil: no recording.
	Recorder Recorder
	// ObserveStep is called with the time that the reducers took for each event. It
	// may be nil.
	ObserveStep func(took time.Duration)
}

// Loop is the control loop. Its goroutine is the only one that accesses the control
// state.
type Loop struct {
	root    *crdaemon.Root
	opts    Options
	events  chan crevent.Event
	dumps   chan chan crdaemon.Dump
	dropped atomic.Int64
}

// New returns a loop that does nothing until Run is called.
func New(root *crdaemon.Root, opts Options) *Loop {
	return &Loop{
		root:   root,
		opts:   opts,
		events: make(chan crevent.Event, queueCapacity),
		dumps:  make(chan chan crdaemon.Dump),
	}
}

// Post queues an event without blocking. It returns ErrQueueFull if there is no room.
func (l *Loop) Post(ev crevent.Event) error {
	select {
	case l.events <- ev:
		return nil
	default:
		l.dropped.Add(1)
		return ErrQueueFull
	}
}

// PostWait queues an event that must not be dropped. It waits for room in the queue
// until ctx ends.
func (l *Loop) PostWait(ctx context.Context, ev crevent.Event) error {
	select {
	case l.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped returns the number of events that were dropped because the queue was full.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Run applies events and ticks until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-l.events:
			l.apply(ev)
		case <-ticker.C:
			now := l.opts.Clock()
			l.collect(now)
			l.apply(crevent.Tick{Now: now})
		case <-l.opts.Wake:
			l.collect(l.opts.Clock())
		case reply := <-l.dumps:
			reply <- l.root.Dump(l.opts.Clock())
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) collect(now crid.Instant) {
	if l.opts.Collect == nil {
		return
	}
	for _, ev := range l.opts.Collect(now) {
		l.apply(ev)
	}
}

func (l *Loop) apply(ev crevent.Event) {
	if l.opts.Recorder != nil {
		l.opts.Recorder.Event(ev)
	}
	effects := l.timedStep(ev)
	if l.opts.Recorder != nil {
		l.opts.Recorder.Effects(effects)
	}
	for _, eff := range effects {
		l.opts.Execute(eff)
	}
}

func (l *Loop) timedStep(ev crevent.Event) []crevent.Effect {
	if l.opts.ObserveStep == nil {
		return l.root.Step(ev)
	}
	started := l.opts.Clock()
	defer func() { l.opts.ObserveStep(l.opts.Clock().Sub(started)) }()
	return l.root.Step(ev)
}

// Dump returns the control state between two events. The control goroutine builds it,
// so Dump blocks unless Run is running.
func (l *Loop) Dump(ctx context.Context) (crdaemon.Dump, error) {
	reply := make(chan crdaemon.Dump, 1)
	select {
	case l.dumps <- reply:
	case <-ctx.Done():
		return crdaemon.Dump{}, ctx.Err()
	}
	return <-reply, nil
}
