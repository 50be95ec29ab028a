package crtarget

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// coldWindow is the time in which requests to a cold target are counted.
const coldWindow = time.Second

// SetWarmup makes the target cold for a duration after each of its starts. Its health responses,
// to requests for the path, say for how long it stays cold.
func (t *Target) SetWarmup(d time.Duration, healthPath string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmup, t.healthPath = d, healthPath
}

// MakeCold makes the target cold from now on, without a restart.
func (t *Target) MakeCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = time.Now().Add(t.warmup)
}

// Restart ends the target's process, and starts it again at once. It is cold then.
func (t *Target) Restart() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends++
	_ = t.listener.Close() // later connections are refused
	for c := range t.conns {
		_ = c.Close() // the peer sees the close
	}
	l, err := listen(t.opts.Address)
	if err != nil {
		return err
	}
	t.serveOn(l)
	return nil
}

// CloseIdle closes the connections on which no request is running.
func (t *Target) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if !t.active[c] {
			_ = c.Close() // the peer sees the close
		}
	}
}

// Arrival is the arrival of a request, or of a health check, that the target did not answer with 421.
type Arrival struct {
	At      time.Time
	Target  string // ID of the target
	Process int    // number of the ends of the target's process before this one's start
	Cold    bool   // the target was cold
}

// Arrivals returns the arrivals since SetWarmup, in order.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.arrivals)
}

// WarmupLeft returns for how long the target stays cold.
func (t *Target) WarmupLeft() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(time.Until(t.coldUntil), 0)
}

// ColdPeak returns the maximum number of requests that arrived within a second while the target was
// cold, health checks among them. A request that the target answers with 421 does not count.
func (t *Target) ColdPeak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	cold := slices.DeleteFunc(slices.Clone(t.arrivals), func(a Arrival) bool { return !a.Cold })
	peak, first := 0, 0
	for i, a := range cold {
		for a.At.Sub(cold[first].At) >= coldWindow {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// HealthChecks returns the number of requests for the health path.
func (t *Target) HealthChecks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.healthChecks
}

// recordArrival records the arrival of a request that the target does not answer with 421.
func (t *Target) recordArrival() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); t.warmup > 0 {
		t.arrivals = append(t.arrivals, Arrival{At: now, Target: t.opts.ID, Process: t.ends, Cold: now.Before(t.coldUntil)})
	}
}

// isHealthCheck reports whether a request is a health check, and counts it.
func (t *Target) isHealthCheck(r *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.healthPath == "" || r.URL.Path != t.healthPath {
		return false
	}
	t.healthChecks++
	return true
}

// respondHealth responds to a health check.
func (t *Target) respondHealth(conn net.Conn, id string) bool {
	return t.writeResponse(conn, http.StatusOK, id, "Warmup-Milliseconds: "+strconv.FormatInt(t.WarmupLeft().Milliseconds(), 10)+"\r\n", "", false)
}

// setActive records whether a request is running on a connection.
func (t *Target) setActive(conn net.Conn, active bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if active {
		t.active[conn] = true
	} else {
		delete(t.active, conn)
	}
}
