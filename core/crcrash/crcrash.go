// Package crcrash recognizes requests whose runs end the process of the target that runs them,
// also known as queries of death. Sent on from target to target, and repeated by its caller, one such
// request ends a whole service. The daemons of `camphorroad join` use it: the daemon beside a
// target (io/cregress) sees its process end and reports the requests that were running, and an
// entry (io/cringress) sends a request under which [MaxEnds] processes have ended to no further
// target.
//
// A request is recognized by its content, since a repeated one has another ID. Requests that
// happen to run on a target when its process ends are innocent in most cases. So three ends are
// needed, an end does not count against a request that the same process has answered before
// ([Answers]), since many callers may send it, and an end counts against the blocked request alone if one was
// running then.
//
// An answer tells something of the process that gave it only. Ends are forgotten when several
// targets have answered the request after the time for which it is blocked.
//
// # Usage
//
//	key := crcrash.KeyOf(crcrash.Content{Account: "a", Method: "GET", Host: "h", URI: "/x"})
//	if wait, blocked := tracker.Blocked(now, key); blocked { ... }
//	tracker.RecordEnd(now, key, crcrash.End{Daemon: "10.0.0.1", AtMillis: 1700000000000})
//	tracker.RecordAnswer(now, key, "10.0.0.2")
//	reports := tracker.Reports(now, self) // for peers, which pass them to RecordEnd
package crcrash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"camphorroad/core/crid"
)

const (
	// MaxEnds is the number of processes that may end under a request.
	MaxEnds = 3
	// holdTime is how long a request is blocked. After that it may run again, and the next end
	// blocks it at once: the service may have been repaired.
	holdTime = time.Minute
	// reportTime is how long ends are reported to peers. It is shorter than holdTime, so that a
	// report does not arrive after its end was forgotten.
	reportTime = 50 * time.Second
	// retention is how long a request without a further end is remembered.
	retention = 10 * time.Minute
	// maxSuspects and maxEndsKept bound the memory of a tracker. A caller adds a suspect only by
	// ending a process.
	maxSuspects = 1024
	maxEndsKept = 16
	// maxReports bounds the reports in one heartbeat.
	maxReports = 8
)

// End is the end of a target's process.
type End struct {
	Daemon   crid.Daemon // beside the target
	AtMillis int64       // Unix time by that daemon's clock, in milliseconds
}

// Report is a request that was running when the process of the sender's target ended.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Key      Key
	AtMillis int64 // see End
}

// Tracker remembers under which requests processes have ended. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	suspects map[Key]*suspect
}

// suspect is a request that was running when processes ended.
type suspect struct {
	ends        map[End]crid.Instant // when each was recorded
	lastEnd     crid.Instant
	blockedTill crid.Instant
	survivors   map[crid.Daemon]bool // whose targets have answered it; see RecordAnswer
}

func (s *suspect) dropOldest() {
	var oldest End
	first := true
	for e, at := range s.ends {
		if first || at.Before(s.ends[oldest]) {
			oldest, first = e, false
		}
	}
	delete(s.ends, oldest)
}

// NewTracker returns a tracker that knows of no ends.
func NewTracker() *Tracker {
	return &Tracker{suspects: make(map[Key]*suspect)}
}

// RecordAnswer records that the target beside a daemon has answered a request without a failure. If
// MaxEnds targets have, each of them holdTime after the last end or later, the service has been
// repaired, or the ends had another reason: they are forgotten, and their number is returned.
func (t *Tracker) RecordAnswer(now crid.Instant, k Key, by crid.Daemon) (forgotten int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[k]
	if s == nil || now.Sub(s.lastEnd) < holdTime {
		return 0
	}
	s.survivors[by] = true
	if len(s.survivors) < MaxEnds {
		return 0
	}
	delete(t.suspects, k)
	return len(s.ends)
}

// RecordEnd records that a process has ended while it ran a request, unless that is known already or
// a blocked request explains it.
func (t *Tracker) RecordEnd(now crid.Instant, k Key, e End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isExplained(now, e) {
		return
	}
	s := t.suspects[k]
	if s == nil || now.Sub(s.lastEnd) > retention {
		t.makeRoom(now)
		s = &suspect{ends: make(map[End]crid.Instant), survivors: make(map[crid.Daemon]bool)}
		t.suspects[k] = s
	}
	if _, known := s.ends[e]; known {
		return
	}
	if len(s.ends) >= maxEndsKept {
		s.dropOldest()
	}
	s.ends[e], s.lastEnd = now, now
	clear(s.survivors)
	if len(s.ends) >= MaxEnds {
		s.blockedTill = now.Add(holdTime)
		t.clearOthers(k, s)
	}
}

// clearOthers drops the ends of a blocked request from the other requests that were running then.
func (t *Tracker) clearOthers(blocked Key, by *suspect) {
	for k, s := range t.suspects {
		if k == blocked {
			continue
		}
		for e := range by.ends {
			delete(s.ends, e)
		}
		if len(s.ends) == 0 {
			delete(t.suspects, k)
		}
	}
}

// isExplained reports whether a process ended under a request that is blocked.
func (t *Tracker) isExplained(now crid.Instant, e End) bool {
	for _, s := range t.suspects {
		if _, ok := s.ends[e]; ok && now < s.blockedTill {
			return true
		}
	}
	return false
}

// Blocked reports whether a request must not be sent to a target, and for how long.
func (t *Tracker) Blocked(now crid.Instant, k Key) (wait time.Duration, blocked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[k]
	if s == nil || now >= s.blockedTill {
		return 0, false
	}
	return s.blockedTill.Sub(now), true
}

// Ends returns the number of processes that have ended under a request.
func (t *Tracker) Ends(k Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[k]; s != nil {
		return len(s.ends)
	}
	return 0
}

// BlockedCount returns the number of blocked requests.
func (t *Tracker) BlockedCount(now crid.Instant) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		if now < s.blockedTill {
			n++
		}
	}
	return n
}

// Reports returns the requests under which the process of this daemon's own target has ended
// lately, those with the most ends first.
func (t *Tracker) Reports(now crid.Instant, self crid.Daemon) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return nil
	}
	var out []Report
	for k, s := range t.suspects {
		for e, at := range s.ends {
			if e.Daemon == self && now.Sub(at) < reportTime {
				out = append(out, Report{Key: k, AtMillis: e.AtMillis})
			}
		}
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(-cmp.Compare(len(t.suspects[a.Key].ends), len(t.suspects[b.Key].ends)), -cmp.Compare(a.AtMillis, b.AtMillis), slices.Compare(a.Key[:], b.Key[:]))
	})
	return out[:min(len(out), maxReports)]
}

// makeRoom removes the suspects that are past their retention, or the oldest one.
func (t *Tracker) makeRoom(now crid.Instant) {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Key
	first := true
	for k, s := range t.suspects {
		if now.Sub(s.lastEnd) > retention {
			delete(t.suspects, k)
			continue
		}
		if first || s.lastEnd.Before(t.suspects[oldest].lastEnd) {
			oldest, first = k, false
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, oldest)
	}
}
