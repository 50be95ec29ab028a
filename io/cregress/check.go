package cregress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"camphorroad/core/crid"
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
	resp, err := conn.Exchange(ctx, crlink.Request{Method: http.MethodGet, URI: *path, Host: x.opts.Address, Header: http.Header{}})
	if err != nil {
		x.gate.ContactLost(x.opts.Clock())
		return
	}
	x.pool.Put(conn)
	info := x.opts.Dialect.ParseResponse(resp.Status, resp.Header)
	x.handleAnnouncements(x.opts.Clock(), *target, info)
	if !info.HasWarmup && resp.Status != http.StatusOK {
		return // the target did not run the check
	}
	x.gate.RecordCheck(sentAt, x.opts.Clock(), info.Warmup)
	x.opts.Log.Event(crlog.WarmupChecked, crlog.Fields{
		"target": string(x.Target()), "cold": info.Warmup.String(), "status": strconv.Itoa(resp.Status), "connection": conn.LocalAddr(), "response": info.ID,
	})
}
