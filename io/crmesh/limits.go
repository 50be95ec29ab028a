package crmesh

import (
	"cmp"
	"strconv"

	"camphorroad/core/crhead"
	"camphorroad/core/crplan"
	"camphorroad/io/crlog"
	"camphorroad/io/crserver"
	"camphorroad/io/crsite"
)

const (
	// headsPart and adminHeadsPart are the parts of the machine's memory that heads of requests may take: at the
	// listener of callers and that of peers, and at each of the admin listeners.
	headsPart      = 16
	adminHeadsPart = 64
	// defaultMemory is the memory in bytes that is shared out where the settings do not say the machine's.
	defaultMemory = 256 << 20
)

// clientLimits are the limits of the clients of each listener. No listener takes the memory of another.
type clientLimits struct {
	memory       int // bytes
	headBytes    int
	caller, peer *crserver.Limits
	admin        []*crserver.Limits
}

// newClientLimits returns the limits for a machine. Plan returns the limits of the plan in force; a limit that it
// does not have is zero.
func newClientLimits(machine crsite.Limits, plan func() crplan.Limits) *clientLimits {
	l := &clientLimits{memory: cmp.Or(machine.MemoryMB<<20, defaultMemory), headBytes: cmp.Or(machine.HeadBytes, crserver.DefaultHeadBytes)}
	l.caller = crserver.NewLimits(crhead.NewBudget(l.memory/headsPart), func() int {
		if n := plan().HeaderBytes; n > 0 {
			return n
		}
		return l.headBytes
	})
	// The heads of peers have fields in addition to those of the callers.
	l.peer = crserver.NewLimits(crhead.NewBudget(l.memory/headsPart), l.defaultHeadBytes)
	return l
}

func (l *clientLimits) defaultHeadBytes() int { return l.headBytes }

// newAdmin returns the limits of an admin listener.
func (l *clientLimits) newAdmin() *crserver.Limits {
	limits := crserver.NewLimits(crhead.NewBudget(l.memory/adminHeadsPart), l.defaultHeadBytes)
	l.admin = append(l.admin, limits)
	return limits
}

// refusals are numbers of heads that were refused, by listener.
type refusals struct{ caller, peer, admin int64 }

func (r refusals) sum() int64 { return r.caller + r.peer + r.admin }

// refused returns the refusals since the start.
func (l *clientLimits) refused() refusals {
	r := refusals{caller: l.caller.Refused(), peer: l.peer.Refused()}
	for _, limits := range l.admin {
		r.admin += limits.Refused()
	}
	return r
}

// logRefused logs the refusals since an earlier count, and returns the new count.
func (d *daemon) logRefused(last refusals) refusals {
	now := d.limits.refused()
	if now != last {
		d.log.Event(crlog.HeadsRefused, crlog.Fields{
			"callers": strconv.FormatInt(now.caller-last.caller, 10), "peers": strconv.FormatInt(now.peer-last.peer, 10),
			"admin": strconv.FormatInt(now.admin-last.admin, 10),
		})
	}
	return now
}
