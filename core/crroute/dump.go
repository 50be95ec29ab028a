package crroute

import (
	"time"

	"camphorroad/core/crid"
)

// String returns the name of the status in the state dump.
func (s Status) String() string {
	switch s {
	case StatusReady:
		return "ready"
	case StatusEjected:
		return "ejected"
	case StatusLeaving:
		return "leaving"
	}
	return "unknown"
}

// Dump is this daemon's view of a target, for the state dump.
type Dump struct {
	Name     crid.Target   `json:"name"`
	Daemon   crid.Daemon   `json:"daemon"`
	Domain   crid.Domain   `json:"domain"`
	Status   string        `json:"status"`
	Weight   int           `json:"weight"`   // of FullWeight
	InFlight int64         `json:"inflight"` // requests from this daemon
	Failures int64         `json:"strikes"`  // failures since the last successful response
	Avoided  time.Duration `json:"avoided"`  // remaining time of avoidance; zero: not avoided
}

// Dump returns the target's state at now.
func (t *Target) Dump(now crid.Instant) Dump {
	return Dump{
		Name:     t.name,
		Daemon:   t.daemon,
		Domain:   t.domain,
		Status:   t.status.String(),
		Weight:   t.weight,
		InFlight: t.load.InFlight(),
		Failures: t.load.failures.Load(),
		Avoided:  max(0, t.load.AvoidedUntil().Sub(now)),
	}
}
