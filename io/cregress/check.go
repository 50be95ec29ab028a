package cregress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crwarmup"
	"camphorroad/io/crlink"
	"camphorroad/io/crlog"
)

// checkTimeout bounds a health check. It waits for a slot of the target like a request.
const checkTimeout = 800 * time.Millisecond

// checkWarmup reads from the target's health page for how long the target stays cold.
// Without an answer it counts as cold.
func (x *Exit) checkWarmup(ctx context.Context, sentAt crid.Instant) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	path, target := x.healthPath.Load(), x.target.Load()
	if path == nil || *path == "" || target == nil {
		return
	}
	conn, err := x.pool.Get(ctx, "")
	if err != nil {
		x.gate.ContactLost(x.opts.Clock())
		return
	}
	age := conn.Age()
	connectedAt := x.opts.Clock().Add(-age)
	resp, err := conn.Exchange(ctx, crlink.Request{
		Method: http.MethodGet, URI: *path, Host: x.opts.Address, Header: http.Header{},
		Written: func() { x.gate.Written(sentAt, x.opts.Clock(), connectedAt) },
	})
	if err != nil {
		x.gate.ContactLost(x.opts.Clock())
		return
	}
	now := x.opts.Clock() // before the connection is found open, so that the process was alive then
	broken := !resp.Closes && conn.PeerClosed()
	x.pool.Put(conn)
	if broken {
		x.gate.ContactLost(x.opts.Clock()) // the process may have ended after its response
		return
	}
	info := x.opts.Dialect.ParseResponse(resp.Status, resp.Header)
	x.handleAnnouncements(now, *target, info)
	if !info.HasWarmup && resp.Status != http.StatusOK {
		return // the target did not run the check
	}
	doubt := x.gate.Doubt()
	x.gate.RecordCheck(sentAt, now, info.Warmup)
	x.opts.Log.Event(crlog.WarmupChecked, crlog.Fields{
		"target": string(x.Target()), "cold": info.Warmup.String(), "known": strconv.FormatBool(info.HasWarmup), "status": strconv.Itoa(resp.Status),
		"doubt": doubt.String(), "connection": conn.LocalAddr(), "response": info.ID,
	})
	x.reportFlood(now, info.Warmup, doubt)
}

// reportFlood logs if the target got too many requests since it became cold. remaining is the time
// for which it stays cold.
func (x *Exit) reportFlood(now crid.Instant, remaining time.Duration, doubt crwarmup.Doubt) {
	p := x.coldParams.Load()
	if p == nil || p.Limit == 0 || remaining == 0 {
		return
	}
	if peak := x.gate.PeakSince(now.Add(remaining - p.Duration)); peak > p.Limit {
		x.opts.Log.Event(crlog.ColdTargetFlooded, crlog.Fields{
			"target": string(x.Target()), "requests": strconv.Itoa(peak), "limit": strconv.Itoa(p.Limit), "doubt": doubt.String(),
		})
	}
}
