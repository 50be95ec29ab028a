// Package crcontrol runs the control state: one goroutine owns the root reducer,
// takes events from a queue, and has their effects carried out.
//
// # Usage
//
//	loop := crcontrol.New(root, crcontrol.Options{Clock: crclock.Now, Do: shell.Do, Paused: onPause})
//	go loop.Run(ctx)
//	loop.Post(ev)
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

// TickInterval is the time between two ticks.
const TickInterval = 50 * time.Millisecond

// queueLength bounds the events that wait. Messages beyond it are dropped: their
// senders repeat what still matters, while waiting would hold up the transport.
const queueLength = 4096

// ErrQueueFull tells that the queue is full.
var ErrQueueFull = errors.New("control queue is full")

// Recorder keeps what the reducers were told and what they gave. The control
// goroutine calls it.
type Recorder interface {
	// Event is called before an event is applied.
	Event(ev crevent.Event)
	// Effects is called with what came of it.
	Effects(effects []crevent.Effect)
}

// Options configure a Loop.
type Options struct {
	Clock func() crid.Instant
	// Execute carries out one effect; it must not block, nor call Dump.
	Execute func(eff crevent.Effect)
	// Collect is called before each tick, and when Wake fires; it returns the
	// traffic side's counters as events.
	Collect func(now crid.Instant) []crevent.Event
	// Wake fires when Before should run without waiting for the next tick.
	Wake <-chan struct{}
	// Recorder is told of each event and of its effects; nil: nobody.
	Recorder Recorder
	// ObserveStep is told how long the reducers took for each event; nil: nobody.
	ObserveStep func(took time.Duration)
}

// Loop owns the control state.
type Loop struct {
	root    *crdaemon.State
	opts    Options
	events  chan crevent.Event
	asks    chan chan crdaemon.Dump
	dropped atomic.Int64
}

// New returns a loop that does nothing until Run.
func New(root *crdaemon.State, opts Options) *Loop {
	return &Loop{
		root:   root,
		opts:   opts,
		events: make(chan crevent.Event, queueLength),
		asks:   make(chan chan crdaemon.Dump),
	}
}

// Post queues an event; it never waits.
func (l *Loop) Post(ev crevent.Event) error {
	select {
	case l.events <- ev:
		return nil
	default:
		l.dropped.Add(1)
		return ErrQueueFull
	}
}

// PostWait queues an event that must not be lost, waiting for room until ctx
// ends.
func (l *Loop) PostWait(ctx context.Context, ev crevent.Event) error {
	select {
	case l.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped is the number of events that found the queue full.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Run applies events until ctx ends.
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
		case ask := <-l.asks:
			ask <- l.root.Dump(l.opts.Clock())
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
	effects := l.step(ev)
	if l.opts.Recorder != nil {
		l.opts.Recorder.Effects(effects)
	}
	for _, eff := range effects {
		l.opts.Execute(eff)
	}
}

func (l *Loop) step(ev crevent.Event) []crevent.Effect {
	if l.opts.ObserveStep == nil {
		return l.root.Step(ev)
	}
	started := l.opts.Clock()
	defer func() { l.opts.ObserveStep(l.opts.Clock().Sub(started)) }()
	return l.root.Step(ev)
}

// Dump asks the loop for the state.
func (l *Loop) Dump(ctx context.Context) (crdaemon.Dump, error) {
	ask := make(chan crdaemon.Dump, 1)
	select {
	case l.asks <- ask:
	case <-ctx.Done():
		return crdaemon.Dump{}, ctx.Err()
	}
	return <-ask, nil
}
