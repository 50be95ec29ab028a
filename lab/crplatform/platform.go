// Package crplatform implements a fake of the users' platform for tests and the demo:
// it holds published values and the list of instances under one increasing revision,
// counts requests, and injects faults. The client of the platform is in io/crplatform;
// crstore is the fake of the platform's store.
//
// # Usage
//
//	p := crplatform.New(0)
//	server := httptest.NewServer(p.Handler())
//	rev, err := p.Publish(manifest, values)
//	rev = p.SetInstances(instances)
//	p.SetFault(crplatform.Fault{Mode: crplatform.ModeReset})
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

// Mode is a kind of fault.
type Mode string

// The kinds of faults.
const (
	ModeNone  Mode = ""      // no fault
	ModeReset Mode = "away"  // closes every connection without a response
	ModeHang  Mode = "hang"  // accepts requests and never responds
	ModeSlow  Mode = "slow"  // responds after Delay
	ModeStale Mode = "stale" // responds with the state of Back changes ago
	ModeFlap  Mode = "flap"  // alternates between the current and a stale state every Delay
)

// Fault is the platform's fault until the next SetFault.
type Fault struct {
	Mode  Mode          `json:"mode"`
	Delay time.Duration `json:"delay"` // nanoseconds, for slow and flap
	Back  int           `json:"back"`  // number of changes to go back, for stale and flap; zero means one
	Lag   time.Duration `json:"lag"`   // nanoseconds by which the list of instances is delayed, in every mode
}

// Counts holds the numbers of requests so far; a waiting watch is one request.
type Counts struct {
	Watch     int `json:"watch"`
	Value     int `json:"value"`
	Instances int `json:"instances"`
}

// Total returns the number of all requests.
func (c Counts) Total() int { return c.Watch + c.Value + c.Instances }

// ErrIncompleteBundle means that a manifest is invalid or one of its values is missing.
// Nothing of the bundle was published.
var ErrIncompleteBundle = errors.New("bundle is incomplete")

// state is the platform's content between two changes.
type state struct {
	head      crconfig.Head
	instances []crinstance.Instance
	since     time.Time
}

// Platform is the fake platform. It is safe for concurrent use.
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

// Publish replaces the bundle atomically and returns its revision. Publishing the
// current bundle again changes nothing.
func (p *Platform) Publish(manifest []byte, values [][]byte) (crid.Revision, error) {
	m, err := crpolicyfile.ParseManifest(manifest)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrIncompleteBundle, err)
	}
	byDigest := map[crconfig.Digest][]byte{crconfig.DigestOf(manifest): manifest}
	for _, data := range values {
		byDigest[crconfig.DigestOf(data)] = data
	}
	for _, e := range m.Entries {
		if len(byDigest[e.Digest]) != e.Size {
			return 0, fmt.Errorf("%w: value %s is missing", ErrIncompleteBundle, e.Name)
		}
	}
	return p.publish(crconfig.DigestOf(manifest), byDigest), nil
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
	p.appendState(last)
	return p.rev
}

// SetInstances replaces the list of instances and returns its revision.
func (p *Platform) SetInstances(instances []crinstance.Instance) crid.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.history[len(p.history)-1]
	p.rev++
	last.head.List = p.rev
	last.instances = crinstance.NewList(p.rev, instances).Instances()
	p.appendState(last)
	return p.rev
}

// SetFault replaces the fault; the zero Fault ends it.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.faultAt = time.Now()
	p.notify()
}

// Counts returns the numbers of requests so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) appendState(s state) {
	s.head.Rev = p.rev
	s.since = time.Now()
	p.history = append(p.history, s)
	p.notify()
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the state shown to clients now, and a channel closed on the next change.
func (p *Platform) current() (state, <-chan struct{}) {
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
