package crpeer

import "time"

// DefaultIdleTimeout is how long an unused session is kept. An exit keeps records of the
// forwards of a session for 75 s, and an entry relies on the exit's reports of a forward
// for 60 s after sending it. If the session were closed earlier, these records would be
// lost, and a request that could be reported as "not run" would be reported as "unknown".
const DefaultIdleTimeout = 90 * time.Second

// sweepsPerTimeout is the number of sweeps for idle sessions per idle timeout.
const sweepsPerTimeout = 6

// Sessions returns the number of open sessions that this daemon dialled.
func (t *Transport) Sessions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.sessions {
		if s.isOpen() {
			n++
		}
	}
	return n
}

// sweep closes idle sessions. In a large fleet, the set of peers with which a daemon
// exchanges heartbeats changes every minute. Without a sweep, each daemon would end up
// with a session to every other one, which takes a gigabyte of memory.
func (t *Transport) sweep() {
	defer t.wg.Done()
	ticker := time.NewTicker(t.opts.IdleTimeout / sweepsPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.closeIdle(time.Now())
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Transport) closeIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for peer, s := range t.sessions {
		if !s.isOpen() || s.closeIfIdle(now.Add(-t.opts.IdleTimeout)) {
			delete(t.sessions, peer)
		}
	}
	t.expireDialFailures(now)
}

// expireDialFailures removes expired failures; otherwise each replaced daemon would
// leave an entry behind.
func (t *Transport) expireDialFailures(now time.Time) {
	for peer, at := range t.dialFailedAt {
		if now.Sub(at) >= redialBackoff {
			delete(t.dialFailedAt, peer)
		}
	}
}

// touch records that the session is about to be used.
func (s *Session) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = time.Now()
}

// closeIfIdle closes a session that has no streams and was last used before the given
// time, and reports whether it did. A caller that obtained the session earlier and
// opens a stream afterwards gets an error before it has sent anything.
func (s *Session) closeIfIdle(before time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams > 0 || s.lastUsed.After(before) {
		return false
	}
	s.retired = true
	s.closeRetired()
	return true
}
