package crmesh

import (
	"cmp"
	"strconv"
	"syscall"

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
	// connsPart of connsWhole of the descriptors are for connections of callers, as many for those of peers, and one of
	// adminDescriptorsPart for each of the admin listeners. The others are for outgoing connections.
	connsPart, connsWhole = 3, 8
	adminDescriptorsPart  = 32
	// connMemory is the estimated memory of an idle connection in bytes, with what the collector leaves. Those of callers,
	// and those of peers, take half of the machine's memory at most.
	connMemory = 64 << 10
	// unlimitedDescriptors is shared out where the process has no limit, and is the most that is.
	unlimitedDescriptors = 1 << 16
	// defaultMemory is the memory in bytes that is shared out where the settings do not say the machine's.
	defaultMemory = 256 << 20
)

// clientLimits are the limits of the clients of each listener. No listener takes the memory of another.
type clientLimits struct {
	memory       int // bytes
	descriptors  int
	conns        int // of callers, and of peers
	headBytes    int
	caller, peer *crserver.Limits
	admin        []*crserver.Limits
}

// newClientLimits returns the limits for a machine. Plan returns the limits of the plan in force; a limit that it
// does not have is zero.
func newClientLimits(machine crsite.Limits, plan func() crplan.Limits) *clientLimits {
	l := &clientLimits{memory: cmp.Or(machine.MemoryMB<<20, defaultMemory), headBytes: cmp.Or(machine.HeadBytes, crserver.DefaultHeadBytes)}
	l.descriptors = maxDescriptors()
	l.conns = min(l.descriptors*connsPart/connsWhole, l.memory/2/connMemory)
	l.caller = crserver.NewLimits(l.conns, crhead.NewBudget(l.memory/headsPart), func() int {
		if n := plan().HeaderBytes; n > 0 {
			return n
		}
		return l.headBytes
	})
	// The heads of peers have fields in addition to those of the callers.
	l.peer = crserver.NewLimits(l.conns, crhead.NewBudget(l.memory/headsPart), l.defaultHeadBytes)
	return l
}

// maxDescriptors is the number of descriptors that the process may open.
func maxDescriptors() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return unlimitedDescriptors
	}
	return int(min(r.Cur, unlimitedDescriptors))
}

func (l *clientLimits) defaultHeadBytes() int { return l.headBytes }

// newAdmin returns the limits of an admin listener.
func (l *clientLimits) newAdmin() *crserver.Limits {
	limits := crserver.NewLimits(l.descriptors/adminDescriptorsPart, crhead.NewBudget(l.memory/adminHeadsPart), l.defaultHeadBytes)
	l.admin = append(l.admin, limits)
	return limits
}

// tally counts something by listener.
type tally struct{ caller, peer, admin int64 }

func (t tally) sum() int64 { return t.caller + t.peer + t.admin }

// count sums up a number of the limits of each listener.
func (l *clientLimits) count(of func(*crserver.Limits) int64) tally {
	t := tally{caller: of(l.caller), peer: of(l.peer)}
	for _, limits := range l.admin {
		t.admin += of(limits)
	}
	return t
}

// exceeded counts what clients were refused.
type exceeded struct{ heads, conns tally }

// exceeded returns what clients were refused since the start.
func (l *clientLimits) exceeded() exceeded {
	return exceeded{heads: l.count((*crserver.Limits).Refused), conns: l.count((*crserver.Limits).Closed)}
}

// logExceeded logs what clients were refused since an earlier count, and returns the new count.
func (d *daemon) logExceeded(last exceeded) exceeded {
	now := d.limits.exceeded()
	d.logTally(crlog.HeadsRefused, last.heads, now.heads)
	d.logTally(crlog.ConnectionsClosed, last.conns, now.conns)
	return now
}

func (d *daemon) logTally(event int, last, now tally) {
	if now == last {
		return
	}
	d.log.Event(event, crlog.Fields{
		"callers": strconv.FormatInt(now.caller-last.caller, 10), "peers": strconv.FormatInt(now.peer-last.peer, 10),
		"admin": strconv.FormatInt(now.admin-last.admin, 10),
	})
}
