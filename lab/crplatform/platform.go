// Package crplatform is the stand-in of the users' platform for tests and the
// demo: it holds published values and the list of instances under one growing
// revision, counts each call, and fails on request.
//
// # Usage
//
//	p := crplatform.New(0)
//	server := httptest.NewServer(p.Handler())
//	rev, err := p.Publish(manifest, values)
//	rev = p.SetInstances(instances)
//	p.SetFault(crplatform.Fault{Mode: crplatform.ModeAway})
package crplatform

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/io/crpolicyfile"
)

// Mode is a way in which the platform fails.
type Mode string

// The modes of failure.
const (
	ModeNone  Mode = ""      // answers truly
	ModeAway  Mode = "away"  // closes every connection without an answer
	ModeHang  Mode = "hang"  // takes calls and never answers
	ModeSlow  Mode = "slow"  // answers after Delay
	ModeStale Mode = "stale" // answers from Back changes ago
	ModeFlap  Mode = "flap"  // turns between true and stale every Delay
)

// Fault is how the platform fails, until the next one is set.
type Fault struct {
	Mode  Mode          `json:"mode"`
	Delay time.Duration `json:"delay"` // nanoseconds, of slow and flap
	Back  int           `json:"back"`  // changes, of stale and flap; zero means one
	Lag   time.Duration `json:"lag"`   // nanoseconds by which the list of instances is late, in every mode
}

// Counts holds the calls so far; a waiting watch is one call.
type Counts struct {
	Watch     int `json:"watch"`
	Value     int `json:"value"`
	Instances int `json:"instances"`
}

// Total is the number of all calls.
func (c Counts) Total() int { return c.Watch + c.Value + c.Instances }

// ErrBundle tells that a bundle is not whole; nothing of it was published.
var ErrBundle = errors.New("bundle is not whole")

// state is what was newest between two changes.
type state struct {
	head      crconfig.Head
	instances []crinstance.Instance
	since     time.Time
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	rev     crid.Revision
	history []state // never empty, oldest first
	values  map[crconfig.Digest][]byte
	fault   Fault
	faultAt time.Time
	counts  Counts
	changed chan struct{} // closed and replaced on every change
}

// New returns an empty platform whose next revision is above the given one.
func New(rev crid.Revision) *Platform {
	return &Platform{
		rev:     rev,
		history: []state{{}},
		values:  make(map[crconfig.Digest][]byte),
		changed: make(chan struct{}),
	}
}

// Publish puts a bundle in place of the former in one step, and returns its
// revision. Publishing what is published already changes nothing.
func (p *Platform) Publish(manifest []byte, values [][]byte) (crid.Revision, error) {
	m, err := crpolicyfile.ParseManifest(manifest)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrBundle, err)
	}
	have := map[crconfig.Digest][]byte{crconfig.DigestOf(manifest): manifest}
	for _, data := range values {
		have[crconfig.DigestOf(data)] = data
	}
	for _, e := range m.Entries {
		if len(have[e.Digest]) != e.Size {
			return 0, fmt.Errorf("%w: value %s is missing", ErrBundle, e.Name)
		}
	}
	return p.publish(crconfig.DigestOf(manifest), have), nil
}

func (p *Platform) publish(manifest crconfig.Digest, values map[crconfig.Digest][]byte) crid.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.history[len(p.history)-1]
	if last.head.Manifest == manifest {
		return last.head.Conf
	}
	for digest, data := range values {
		p.values[digest] = data
	}
	p.rev++
	last.head.Conf = p.rev
	last.head.Manifest = manifest
	p.push(last)
	return p.rev
}

// SetInstances puts a list of instances in place and returns its revision.
func (p *Platform) SetInstances(instances []crinstance.Instance) crid.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.history[len(p.history)-1]
	p.rev++
	last.head.List = p.rev
	last.instances = crinstance.NewList(p.rev, instances).Instances()
	p.push(last)
	return p.rev
}

// SetFault makes the platform fail, or mends it with the zero Fault.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.faultAt = time.Now()
	p.wake()
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) push(s state) {
	s.head.Rev = p.rev
	s.since = time.Now()
	p.history = append(p.history, s)
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visible returns what a caller is shown now, and what to wait on for more.
func (p *Platform) visible() (state, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := len(p.history) - 1
	if p.isStale(now) {
		n = max(0, n-max(1, p.fault.Back))
	}
	s := p.history[n]
	if p.fault.Lag > 0 {
		for n > 0 && now.Sub(p.history[n].since) < p.fault.Lag {
			n--
		}
		s.head.List = p.history[n].head.List
		s.instances = p.history[n].instances
		s.head.Rev = max(s.head.Conf, s.head.List)
	}
	return s, p.changed
}

func (p *Platform) isStale(now time.Time) bool {
	switch p.fault.Mode {
	case ModeStale:
		return true
	case ModeFlap:
		period := max(p.fault.Delay, time.Millisecond)
		return now.Sub(p.faultAt)/period%2 == 1
	}
	return false
}

func (p *Platform) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Platform) value(d crconfig.Digest) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.values[d]
	return data, ok
}

func (p *Platform) count(add func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.counts)
}
