package crpeer

import "time"

// DefaultIdle is how long an unused session is kept. An exit remembers the
// forwards of a session for 75 s, and an entry believes what it says of them for
// 60 s after their sending. Closed earlier, the session would take that memory
// with it, and a request that could be told "not run" would be told "unknown".
const DefaultIdle = 90 * time.Second

// sweeps is how often idle sessions are looked for in that time.
const sweeps = 6

// Sessions is the number of live sessions that this daemon dialled.
func (t *Transport) Sessions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.sessions {
		if s.alive() {
			n++
		}
	}
	return n
}

// sweep closes sessions that are not used. In a large fleet a daemon beats with
// other peers every minute; kept for ever, their sessions would add up until
// each daemon held one with every other, a gigabyte of them.
func (t *Transport) sweep() {
	defer t.wg.Done()
	ticker := time.NewTicker(t.opts.Idle / sweeps)
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
		if !s.alive() || s.retireIdle(now.Add(-t.opts.Idle)) {
			delete(t.sessions, peer)
		}
	}
	t.forgetFailures(now)
}

// forgetFailures drops what no dial asks for any more; each replaced daemon would
// leave an entry.
func (t *Transport) forgetFailures(now time.Time) {
	for peer, at := range t.failed {
		if now.Sub(at) >= redialAfter {
			delete(t.failed, peer)
		}
	}
}

// touch notes that the session is about to be used.
func (s *Session) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
}

// retireIdle closes a session that has no stream and was last used before an
// instant, and reports whether it did. Who was given the session before and opens
// a stream only now gets an error, and has sent nothing.
func (s *Session) retireIdle(before time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open > 0 || s.used.After(before) {
		return false
	}
	s.retired = true
	s.closeRetired()
	return true
}
