package cregress

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
)

const (
	// probeTimeout bounds the connection that tells whether the target's process has ended.
	probeTimeout = 100 * time.Millisecond
	// sameEndTime is the time in which requests that break off do so by the same end of the
	// process.
	sameEndTime = 200 * time.Millisecond
)

// processEnd is an end of the target's process.
type processEnd struct {
	seenAt crid.Instant // of the latest request that broke off
	millis int64        // Unix time, by which daemons tell ends apart; zero: none
}

// recordEnd records that the process of the target has ended while it ran a request, and returns
// the Unix time of the end in milliseconds. It returns zero if the process takes connections, or if
// the target was about to leave, or if the process has survived the same request before.
func (r *run) recordEnd(ctx context.Context) int64 {
	x := r.exit
	if record := x.target.Load(); record == nil || record.Leaving || x.isLeaving(record) || x.acceptsConnections(ctx) {
		return 0
	}
	now := x.opts.Clock()
	end := crcrash.End{Daemon: x.opts.Self, AtMillis: x.endAt(now)}
	key := contentKey(r.request)
	survived := x.answers.Survived(key)
	if !survived {
		x.opts.Crashes.RecordEnd(now, key, end)
	}
	x.opts.Log.Event(crlog.TargetEnded, crlog.Fields{
		"request": r.request.ID, "content": key.String(), "target": string(r.target.Target), "ends": strconv.Itoa(x.opts.Crashes.Ends(key)),
		"survived": strconv.FormatBool(survived),
	})
	if survived {
		return 0
	}
	x.opts.OnTargetEnd()
	return end.AtMillis
}

// endAt returns the Unix time in milliseconds of the end by which a request broke off now.
func (x *Exit) endAt(now crid.Instant) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lastEnd.millis == 0 || now.Sub(x.lastEnd.seenAt) > sameEndTime {
		x.lastEnd.millis = time.Now().UnixMilli()
		x.answers.EndProcess()
	}
	x.lastEnd.seenAt = now
	return x.lastEnd.millis
}

// acceptsConnections reports whether the target accepts a connection, or does not refuse one in
// time.
func (x *Exit) acceptsConnections(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := x.pool.Dial(ctx)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	x.pool.Put(conn)
	return true
}

// blocks reports whether a request must not run, and for how long. Its entry may not have heard yet of
// all ends under it. One that the target's process has answered before does not end it.
func (x *Exit) blocks(r croffer.Request) (wait time.Duration, blocked bool) {
	key := contentKey(r)
	wait, blocked = x.opts.Crashes.Blocked(x.opts.Clock(), key)
	return wait, blocked && !x.answers.Survives(key)
}

// contentKey returns the key by which repetitions of a request are recognized.
func contentKey(r croffer.Request) crcrash.Key {
	return crcrash.KeyOf(crcrash.Content{Account: r.Account, Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body})
}
