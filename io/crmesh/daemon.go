package crmesh

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"camphorroad/core/crbudget"
	"camphorroad/core/crcrash"
	"camphorroad/core/crevent"
	"camphorroad/core/crgate"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplace"
	"camphorroad/core/crplan"
	"camphorroad/core/crshare"
	"camphorroad/io/cradmin"
	"camphorroad/io/crbeat"
	"camphorroad/io/crclock"
	"camphorroad/io/cregress"
	"camphorroad/io/crfeed"
	"camphorroad/io/cringress"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/io/crpipeline"
	"camphorroad/io/crserver"
	"camphorroad/io/crwatch"
)

const (
	// callerDrainTime is how long a stopping daemon still accepts requests from
	// callers. Callers detect the stop by two probes of the ready page, a second
	// apart.
	callerDrainTime = 2600 * time.Millisecond
	// shutdownReserve is subtracted from the grace period, so that the process ends
	// before it is killed. Requests that targets are still running when the reserve
	// begins are aborted, so it is no longer than the process needs to end.
	shutdownReserve = 150 * time.Millisecond
	// finalAnswerMargin is the time before the end of the drain at which callers of
	// requests still in progress get an answer with what is known of them.
	finalAnswerMargin = 80 * time.Millisecond
	// drainPollInterval is the time between checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
)

type daemon struct {
	opts        Options
	log         *crlog.Logger
	queue       *crlog.Queue
	loop        *loop
	balancer    *crplace.Balancer
	exit        *cregress.Exit
	entry       *cringress.Entry
	peers       *croffer.Client
	feed        *crfeed.Feed
	follower    *crwatch.Follower
	channel     *crbeat.Channel
	crashes     *crcrash.Tracker
	metrics     metrics.Registry
	meters      *meters
	limits      *clientLimits
	incarnation uint64
}

func newDaemon(
	opts Options, l *crlog.Logger, q *crlog.Queue, lp *loop, balancer *crplace.Balancer, x *cregress.Exit, e *cringress.Entry,
	peers *croffer.Client, feed *crfeed.Feed, f *crwatch.Follower, ch *crbeat.Channel, crashes *crcrash.Tracker, m metrics.Registry, ms *meters,
) *daemon {
	limits := newClientLimits(opts.Settings.Limits, func() crplan.Limits {
		if p := lp.view.Load().Plan; p != nil {
			return p.Limits()
		}
		return crplan.Limits{}
	})
	return &daemon{
		opts: opts, limits: limits, log: l, queue: q, loop: lp, balancer: balancer, exit: x, entry: e, peers: peers, feed: feed, follower: f, channel: ch,
		crashes: crashes, metrics: m, meters: ms, incarnation: uint64(time.Now().UnixNano()),
	}
}

// run serves until ctx is cancelled, then drains.
func (d *daemon) run(ctx context.Context) error {
	// The servers and tasks continue to run during the drain, after ctx is cancelled.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := d.listen(serveCtx)
	if err != nil {
		return err
	}
	d.registerGauges()
	d.log.Event(crlog.MeshStarted, crlog.Fields{
		"service": string(d.opts.Settings.Service), "domain": string(d.opts.Settings.Domain),
		"pages": d.adminAddress(), "target": d.opts.Settings.Target,
	})
	logCtx, stopLogs := context.WithCancel(context.WithoutCancel(ctx))
	logWriter := startTasks(logCtx, func(ctx context.Context) error { return d.queue.Run(ctx, d.opts.Log) })
	tasks := startTasks(serveCtx,
		func(ctx context.Context) error { return d.loop.run(ctx, d.effectHandler(ctx)) },
		func(ctx context.Context) error { return d.follower.Run(ctx, crwatch.Records) },
		func(ctx context.Context) error { return d.follower.Run(ctx, crwatch.Configuration) },
		d.channel.Run,
		d.housekeeping,
		d.reload,
	)
	<-ctx.Done()
	d.drain(servers)
	stop()
	err = ignoreCancelled(tasks.Wait())
	d.log.Event(crlog.MeshStopped, nil)
	stopLogs()
	return errors.Join(err, logWriter.Wait())
}

// servers are the daemon's listeners.
type servers struct {
	caller, peer *http.Server
	pipeline     *crpipeline.Handler // of caller
	admin        []*http.Server
}

// endpoint is a server with the limits of its clients.
type endpoint struct {
	server *http.Server
	limits *crserver.Limits
}

func (d *daemon) listen(ctx context.Context) (servers, error) {
	s := d.opts.Settings
	var out servers
	out.pipeline = crpipeline.New(d.entry, d.meters)
	out.caller = crserver.New(out.pipeline)
	out.peer = crserver.New(croffer.Handler(d.exit, crclock.Now, croffer.StoreHandlers{
		Copy: d.updateFor,
		Feed: func(ctx context.Context, q croffer.FeedQuery) croffer.FeedPage {
			return d.feed.Serve(ctx, d.follower, q)
		},
	}))
	pages := cradmin.New(cradmin.Options{Ready: d.ready, State: d.state, Metrics: d.metrics})
	addresses := map[string]*endpoint{s.Listen.Caller: {out.caller, d.limits.caller}, peerAddress(s): {out.peer, d.limits.peer}}
	admin := []string{s.Listen.Ready, d.adminAddress()}
	if s.Listen.Control != "" {
		admin = append(admin, s.Listen.Control)
	}
	for _, address := range admin {
		server := crserver.New(pages)
		out.admin = append(out.admin, server)
		addresses[address] = &endpoint{server, d.limits.newAdmin()}
	}
	for _, address := range slices.Sorted(maps.Keys(addresses)) {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
		if err != nil {
			return servers{}, fmt.Errorf("listen at %s: %w", address, err)
		}
		e := addresses[address]
		go func() { _ = e.server.Serve(e.limits.Guard(l)) }() // returns on shutdown
	}
	return out, nil
}

// updateFor returns the records and configuration that a peer lacks. data is the encoded
// crwatch.Revisions of the peer.
func (d *daemon) updateFor(data []byte) (any, error) {
	var have crwatch.Revisions
	if err := cbor.Unmarshal(data, &have); err != nil {
		return nil, fmt.Errorf("decode what the peer has: %w", err)
	}
	return d.follower.UpdateFor(have), nil
}

// adminAddress is the listen address of the state and metrics pages.
func (d *daemon) adminAddress() string {
	s := d.opts.Settings
	if s.Listen.Pages != "" {
		return s.Listen.Pages
	}
	return net.JoinHostPort(s.Address, strconv.Itoa(s.Listen.Ports[0]+1))
}

// ready returns the reason why callers should not send requests, or nil.
func (d *daemon) ready() error {
	v := d.loop.view.Load()
	switch {
	case v.Stopping:
		return errors.New("stopping")
	case v.Plan == nil:
		return errors.New("no configuration yet")
	case !v.HasRecords:
		return errors.New("no list of targets yet")
	}
	return nil
}

// drain waits for the requests in progress. Callers keep sending requests until they
// have seen the ready page, and these are served.
func (d *daemon) drain(s servers) {
	began := time.Now()
	grace := d.opts.Settings.Bounds.GracePeriod() - shutdownReserve
	d.log.Event(crlog.MeshStopping, crlog.Fields{"open": strconv.FormatInt(d.entry.InFlight(), 10)})
	d.exit.SetStopDeadline(crclock.Now().Add(grace))
	d.feed.Stop()
	d.loop.emit(crevent.Stopping{Now: crclock.Now()})
	s.pipeline.Stop()
	s.caller.SetKeepAlivesEnabled(false)
	// The target is used as long as callers send requests. Otherwise it would be idle
	// for the whole stop; with half of the daemons restarted one after the other, that
	// is a fifth of the fleet's capacity.
	time.Sleep(min(callerDrainTime, grace/2))
	d.exit.Stop()
	d.loop.emit(crmesh.TargetChanged{Now: crclock.Now()})
	left := grace - time.Since(began)
	finalAnswers := time.AfterFunc(left-finalAnswerMargin, d.entry.Abort)
	defer finalAnswers.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := errors.Join(s.caller.Shutdown(ctx), s.pipeline.Wait(ctx))
	for err == nil && !d.exit.Idle() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	err = errors.Join(err, s.peer.Shutdown(ctx))
	// http.Server.Shutdown polls for open connections up to half a second apart, so it
	// may not have seen that the last request has ended.
	if err != nil && (d.entry.InFlight() > 0 || !d.exit.Idle()) {
		d.log.Event(crlog.MeshDrainIncomplete, crlog.Fields{"open": strconv.FormatInt(d.entry.InFlight(), 10), "error": err.Error()})
	}
	for _, server := range s.admin {
		_ = server.Close() // readers of the admin pages retry
	}
}

const (
	// housekeepingInterval is the time between checks for expired requests.
	housekeepingInterval = 100 * time.Millisecond
	// pruneInterval is the time between two removals of unused state. Views change several
	// times a second in a large fleet.
	pruneInterval = 2 * time.Second
)

// housekeeping expires waiting requests, removes unused state, logs the number of dropped
// log lines, and logs when the daemon becomes ready.
func (d *daemon) housekeeping(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	ready := false
	var exceeded exceeded
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-prune.C:
			exceeded = d.logExceeded(exceeded)
			d.prune(d.loop.view.Load())
			continue
		case <-ticker.C:
		}
		d.exit.Tick(ctx)
		if n := d.queue.Dropped(); n > 0 {
			d.log.Event(crlog.LogDropped, crlog.Fields{"lines": strconv.FormatInt(n, 10)})
		}
		if !ready && d.ready() == nil {
			ready = true
			d.log.Event(crlog.MeshReady, nil)
		}
	}
}

// reload reads and checks the settings again on a signal, but does not apply them. It
// logs an error and continues, while an unhandled SIGHUP would end the process.
func (d *daemon) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.opts.Reload:
		}
		if d.opts.Read == nil {
			continue
		}
		if _, err := d.opts.Read(); err != nil {
			d.log.Event(crlog.SettingsRejected, crlog.Fields{"error": err.Error()})
			continue
		}
		d.log.Event(crlog.SettingsRead, nil)
	}
}

// dump is the body of the state page.
type dump struct {
	Plan    string                               `json:"plan"` // hexadecimal version
	Daemons []crid.Daemon                        `json:"daemons"`
	Silent  []crid.Daemon                        `json:"silent"`
	Targets map[crid.Service][]crplace.Candidate `json:"targets"`
	Own     crplace.LoadReport                   `json:"own"`
	Open    int64                                `json:"open"`
	// Evacuated are the evacuated domains, whose targets are not listed in Targets.
	Evacuated []evacuatedDomain `json:"evacuated"`
	// ColdMillis is the time for which the own target is known to stay cold.
	ColdMillis int64                        `json:"cold"`
	Homes      map[crid.Route][]crid.Region `json:"homes"`   // of the routes that are bound to regions
	Retries    []crbudget.Usage             `json:"retries"` // of this daemon's part of the retry budget
	// Announced is what the own target says of itself in its responses, and Told what other
	// targets have said in responses that this daemon passed on.
	Announced cregress.Announced                   `json:"announced"`
	Told      map[crid.Target]crplace.Announcement `json:"told"`
	// Shares are the accounts that use more than their share of the own target's slots.
	Shares crgate.Shares `json:"shares"`
	// Blocked is the number of requests that are not sent to targets because processes have
	// ended under them.
	Blocked int `json:"blocked"`
}

// evacuatedDomain is an evacuated domain on the state page.
type evacuatedDomain struct {
	Domain   crid.Domain   `json:"domain"`
	Revision crid.Revision `json:"revision"`
	Seconds  float64       `json:"seconds"` // since this daemon received it
}

func (d *daemon) state(_ context.Context, part string) (any, error) {
	if part != "" {
		return nil, cradmin.ErrUnknownPart
	}
	v := d.loop.view.Load()
	out := dump{
		Daemons: v.Live, Silent: slices.Sorted(maps.Keys(v.Unresponsive)), Targets: v.Targets, Own: d.exit.LoadReport(), Open: d.entry.InFlight(),
		ColdMillis: d.exit.ColdFor().Milliseconds(), Retries: d.entry.RetryUsage(),
		Announced: d.exit.Announced(), Shares: d.exit.Shares(), Told: d.balancer.Announced(), Blocked: d.crashes.BlockedCount(crclock.Now()),
	}
	for _, e := range v.Evacuations {
		out.Evacuated = append(out.Evacuated, evacuatedDomain{Domain: e.Domain, Revision: e.Revision, Seconds: crclock.Now().Sub(e.Since).Seconds()})
	}
	if v.Plan != nil {
		out.Plan, out.Homes = v.Plan.Label(), v.Plan.Homes()
		nameAccounts(v.Plan, out.Shares.Above)
	}
	return out, nil
}

// nameAccounts sets the names of the accounts that are in the plan.
func nameAccounts(p *crplan.Plan, list []crshare.Usage) {
	names := make(map[crshare.ID]crid.Account)
	for _, name := range p.AccountNames() {
		names[crshare.IDOf(name)] = name
	}
	for i, u := range list {
		if name, ok := names[u.Account]; ok {
			list[i].Name = string(name)
		}
	}
}

func newChannel(opts Options, loop *loop, limiter *ownerLimiter, pool *poolOwner) (*crbeat.Channel, error) {
	return crbeat.Listen(crbeat.Options{
		Address: peerAddress(opts.Settings),
		OnHeartbeat: func(from crid.Daemon, hb crmesh.Heartbeat) {
			loop.emit(crmesh.HeartbeatReceived{Now: crclock.Now(), From: from, Heartbeat: hb})
		},
		Grant: limiter.grant, GrantRetry: pool.grant,
	})
}

func joinKeys[T ~string](set map[T]bool) string {
	list := make([]string, 0, len(set))
	for name := range set {
		list = append(list, string(name))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func difference[T comparable](a, b map[T]bool) map[T]bool {
	out := make(map[T]bool)
	for k := range a {
		if !b[k] {
			out[k] = true
		}
	}
	return out
}
