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

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplace"
	"camphorroad/io/cradmin"
	"camphorroad/io/crbeat"
	"camphorroad/io/crclock"
	"camphorroad/io/cregress"
	"camphorroad/io/crfeed"
	"camphorroad/io/cringress"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/io/crwatch"
)

const (
	// settle is how long a stopping daemon still takes callers: they learn from
	// two questions to the ready page, a second apart, that it stops.
	settle = 2600 * time.Millisecond
	// reserve is kept of the grace, to end before the kill. What is still at a target
	// then is cut, so that it is no more than ending takes.
	reserve = 150 * time.Millisecond
	// lastWord is the time before the end at which callers are told what is known of
	// requests that are still in progress.
	lastWord = 80 * time.Millisecond
	// drainPoll is the time between looks at what is still in progress.
	drainPoll = 20 * time.Millisecond
	// headerTime is how long a peer or caller may take for a request's head.
	headerTime = 10 * time.Second
	// idleTime is how long an unused connection of a caller is kept; callers
	// close theirs sooner.
	idleTime = 2 * time.Minute
)

type daemon struct {
	opts        Options
	log         *crlog.Logger
	queue       *crlog.Queue
	loop        *loop
	board       *crplace.Balancer
	exit        *cregress.Exit
	entry       *cringress.Entry
	peers       *croffer.Client
	feed        *crfeed.Feed
	follower    *crwatch.Follower
	channel     *crbeat.Channel
	metrics     metrics.Registry
	incarnation uint64
}

func newDaemon(
	opts Options, l *crlog.Logger, q *crlog.Queue, lp *loop, board *crplace.Balancer, x *cregress.Exit, e *cringress.Entry,
	peers *croffer.Client, feed *crfeed.Feed, f *crwatch.Follower, ch *crbeat.Channel, m metrics.Registry,
) *daemon {
	return &daemon{
		opts: opts, log: l, queue: q, loop: lp, board: board, exit: x, entry: e, peers: peers, feed: feed, follower: f, channel: ch,
		metrics: m, incarnation: uint64(time.Now().UnixNano()),
	}
}

// run serves until ctx ends, then drains.
func (d *daemon) run(ctx context.Context) error {
	// What serves must outlive the order to stop by the time of the drain.
	alive, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	servers, err := d.listen(alive)
	if err != nil {
		return err
	}
	d.gauges()
	d.log.Event(crlog.MeshStarted, crlog.Fields{
		"service": string(d.opts.Settings.Service), "domain": string(d.opts.Settings.Domain),
		"pages": d.pagesAddress(), "target": d.opts.Settings.Target,
	})
	logs, endLogs := context.WithCancel(context.WithoutCancel(ctx))
	written := group(logs, func(ctx context.Context) error { return d.queue.Run(ctx, d.opts.Log) })
	tasks := group(alive,
		func(ctx context.Context) error { return d.loop.run(ctx, d.perform(ctx)) },
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
	endLogs()
	return errors.Join(err, written.Wait())
}

// servers are the daemon's listeners.
type servers struct {
	caller, peer *http.Server
	pages        []*http.Server
}

func (d *daemon) listen(ctx context.Context) (servers, error) {
	s := d.opts.Settings
	var out servers
	out.caller = newServer(d.entry)
	out.peer = newServer(croffer.Handler(d.exit, crclock.Now, croffer.Pages{
		Copy: d.copyFor,
		Feed: func(ctx context.Context, q croffer.FeedQuery) croffer.FeedPage {
			return d.feed.Serve(ctx, d.follower, q)
		},
	}))
	pages := cradmin.New(cradmin.Options{Ready: d.ready, State: d.state, Metrics: d.metrics})
	addresses := map[string]*http.Server{s.Listen.Caller: out.caller, peerAddress(s): out.peer}
	admin := []string{s.Listen.Ready, d.pagesAddress()}
	if s.Listen.Control != "" {
		admin = append(admin, s.Listen.Control)
	}
	for _, address := range admin {
		server := newServer(pages)
		out.pages = append(out.pages, server)
		addresses[address] = server
	}
	for _, address := range slices.Sorted(maps.Keys(addresses)) {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
		if err != nil {
			return servers{}, fmt.Errorf("listen at %s: %w", address, err)
		}
		server := addresses[address]
		go func() { _ = server.Serve(l) }() // ends when the server is shut down
	}
	return out, nil
}

// copyFor returns what a peer lacks of the store.
func (d *daemon) copyFor(data []byte) (any, error) {
	var have crwatch.Revisions
	if err := cbor.Unmarshal(data, &have); err != nil {
		return nil, fmt.Errorf("decode what the peer has: %w", err)
	}
	return d.follower.UpdateFor(have), nil
}

// pagesAddress is where operators read state and metrics.
func (d *daemon) pagesAddress() string {
	s := d.opts.Settings
	if s.Listen.Pages != "" {
		return s.Listen.Pages
	}
	return net.JoinHostPort(s.Address, strconv.Itoa(s.Listen.Ports[0]+1))
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
}

// ready says why callers should not come yet, or any more.
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

// drain lets what is in progress end: callers keep coming until they have seen
// the ready page, and are served.
func (d *daemon) drain(s servers) {
	began := time.Now()
	grace := d.opts.Settings.Bounds.GracePeriod() - reserve
	d.log.Event(crlog.MeshStopping, crlog.Fields{"open": strconv.FormatInt(d.entry.InFlight(), 10)})
	d.exit.SetStopDeadline(crclock.Now().Add(grace))
	d.feed.Stop()
	d.loop.emit(crevent.Stopping{Now: crclock.Now()})
	s.caller.SetKeepAlivesEnabled(false)
	// The target is used as long as callers come. It would else lie idle for the whole
	// stop, and with half of the daemons stopped in turn a fifth of the fleet's
	// capacity with it.
	time.Sleep(min(settle, grace/2))
	d.exit.Stop()
	d.loop.emit(crmesh.TargetChanged{Now: crclock.Now()})
	left := grace - time.Since(began)
	last := time.AfterFunc(left-lastWord, d.entry.Abort)
	defer last.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := s.caller.Shutdown(ctx)
	for err == nil && !d.exit.Idle() && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	err = errors.Join(err, s.peer.Shutdown(ctx))
	// The library looks for open connections half a second apart at times, so that it
	// may not have seen that the last request has ended.
	if err != nil && (d.entry.InFlight() > 0 || !d.exit.Idle()) {
		d.log.Event(crlog.MeshDrainIncomplete, crlog.Fields{"open": strconv.FormatInt(d.entry.InFlight(), 10), "error": err.Error()})
	}
	for _, page := range s.pages {
		_ = page.Close() // whoever reads them asks again
	}
}

// housekeepingEvery is the time between looks at what waits in vain.
const housekeepingEvery = 100 * time.Millisecond

// housekeeping ends what waits in vain, and says when log lines were lost.
func (d *daemon) housekeeping(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingEvery)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d.exit.Tick()
		if n := d.queue.Dropped(); n > 0 {
			d.log.Event(crlog.LogDropped, crlog.Fields{"lines": strconv.FormatInt(n, 10)})
		}
		if !ready && d.ready() == nil {
			ready = true
			d.log.Event(crlog.MeshReady, nil)
		}
	}
}

// reload reads the settings again when told to. The process must go on whatever
// it finds: SIGHUP ends one that does not handle it.
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

// dump is the state on request.
type dump struct {
	Plan    string                               `json:"plan"` // version, hexadecimal
	Daemons []crid.Daemon                        `json:"daemons"`
	Silent  []crid.Daemon                        `json:"silent"`
	Targets map[crid.Service][]crplace.Candidate `json:"targets"`
	Own     crplace.LoadReport                   `json:"own"`
	Open    int64                                `json:"open"`
}

func (d *daemon) state(_ context.Context, part string) (any, error) {
	if part != "" {
		return nil, cradmin.ErrUnknownPart
	}
	v := d.loop.view.Load()
	out := dump{
		Daemons: v.Live, Silent: slices.Sorted(maps.Keys(v.Silent)), Targets: v.Targets, Own: d.exit.LoadReport(), Open: d.entry.InFlight(),
	}
	if v.Plan != nil {
		out.Plan = v.Plan.Label()
	}
	return out, nil
}

func newChannel(opts Options, loop *loop, m *ownerMeter) (*crbeat.Channel, error) {
	return crbeat.Listen(crbeat.Options{
		Address: peerAddress(opts.Settings),
		Heard: func(from crid.Daemon, b crmesh.Heartbeat) {
			loop.emit(crmesh.HeartbeatReceived{Now: crclock.Now(), From: from, Heartbeat: b})
		},
		Grant: m.answer,
	})
}

func names[T ~string](of map[T]bool) string {
	list := make([]string, 0, len(of))
	for name := range of {
		list = append(list, string(name))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func minus[T comparable](a, b map[T]bool) map[T]bool {
	out := make(map[T]bool)
	for k := range a {
		if !b[k] {
			out[k] = true
		}
	}
	return out
}
