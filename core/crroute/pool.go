package crroute

import (
	"slices"

	"camphorroad/core/crid"
)

// Status is whether a target takes new work, as decided by the control plane.
type Status uint8

// The statuses of a target, from the best to the worst.
const (
	StatusReady   Status = iota + 1
	StatusEjected        // found unhealthy; takes work only as a last resort
	StatusLeaving        // takes no new work at all
)

// FullWeight is the weight of a target that is not in slow start.
const FullWeight = 1000

// Candidate is a target that a [Picker] can pick.
type Candidate interface {
	// Name is the target's name, unique in the fleet.
	Name() crid.Target
	// Domain is the target's failure domain.
	Domain() crid.Domain
	// Status is whether it takes new work.
	Status() Status
	// Weight is its slow-start weight, from 1 to FullWeight.
	Weight() int
	// Load is its load, as observed by this daemon's own requests.
	Load() *Load
}

// Target is the basic Candidate. It is immutable except for its Load.
type Target struct {
	name   crid.Target
	daemon crid.Daemon
	domain crid.Domain
	status Status
	weight int
	load   *Load
}

var _ Candidate = (*Target)(nil)

// NewTarget returns a target that the given daemon serves. The load is that of
// the previous pool, if the target was in it. The weight is clamped to
// 1..FullWeight.
func NewTarget(
	name crid.Target, daemon crid.Daemon, domain crid.Domain, status Status, weight int, load *Load,
) *Target {
	weight = min(max(weight, 1), FullWeight)
	return &Target{name: name, daemon: daemon, domain: domain, status: status, weight: weight, load: load}
}

// Name implements Candidate.
func (t *Target) Name() crid.Target { return t.name }

// Daemon is the daemon that serves the target.
func (t *Target) Daemon() crid.Daemon { return t.daemon }

// Domain implements Candidate.
func (t *Target) Domain() crid.Domain { return t.domain }

// Status implements Candidate.
func (t *Target) Status() Status { return t.status }

// Weight implements Candidate.
func (t *Target) Weight() int { return t.weight }

// Load implements Candidate.
func (t *Target) Load() *Load { return t.load }

// Pool is the targets of one service, as used by a daemon of one domain. It is
// immutable and safe for concurrent use.
type Pool[C Candidate] struct {
	all   []C // the local ones first
	local int // number of local candidates
}

// NewPool copies the candidates, those of the domain first.
func NewPool[C Candidate](domain crid.Domain, candidates []C) *Pool[C] {
	p := &Pool[C]{all: slices.Clone(candidates)}
	slices.SortStableFunc(p.all, func(a, b C) int { return domainOrder(a, domain) - domainOrder(b, domain) })
	for p.local < len(p.all) && p.all[p.local].Domain() == domain {
		p.local++
	}
	return p
}

func domainOrder(c Candidate, domain crid.Domain) int {
	if c.Domain() == domain {
		return 0
	}
	return 1
}

// Len is the number of candidates.
func (p *Pool[C]) Len() int { return len(p.all) }

// Local returns the candidates of the pool's domain; the caller must not modify them.
func (p *Pool[C]) Local() []C { return p.all[:p.local] }

// Remote returns the candidates of other domains; the caller must not modify them.
func (p *Pool[C]) Remote() []C { return p.all[p.local:] }
