// Package crmesh assembles and runs the daemon that finds its fleet through the
// records in the platform's key-value store (package platform): ingress, egress,
// messages between daemons, the watches on the store, the control loop and the
// admin endpoints. The command join uses it. The state machine behind the control
// loop is core/crmesh.
//
// # Usage
//
//	err := crmesh.Run(ctx, crmesh.Options{Settings: cfg, Store: store, Decoder: decoder, Dialect: dialect, Log: os.Stdout})
package crmesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sync/errgroup"

	"camphorroad/core/crattempt"
	"camphorroad/core/crbudget"
	"camphorroad/core/crcrash"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crplace"
	"camphorroad/core/crsize"
	"camphorroad/io/crclock"
	"camphorroad/io/crdialect"
	"camphorroad/io/cregress"
	"camphorroad/io/crfeed"
	"camphorroad/io/cringress"
	"camphorroad/io/crlog"
	"camphorroad/io/croffer"
	"camphorroad/io/crsite"
	"camphorroad/io/crwatch"
)

const (
	// localHeartbeatInterval and remoteHeartbeatInterval are the times between
	// heartbeats to peers in the same domain and in other domains. Load reports matter
	// most within the domain, where requests are sent first. Traffic between domains
	// is expensive, and urgent changes are sent at once.
	localHeartbeatInterval  = 400 * time.Millisecond
	remoteHeartbeatInterval = time.Second
	// memoryLimitRatio is the fraction of the machine's memory that is set as the soft
	// limit of the garbage collector.
	memoryLimitRatio = 0.7
)

// Options configure a daemon.
type Options struct {
	Settings crsite.Settings
	Store    crwatch.Store
	Decoder  crwatch.Decoder
	Dialect  crdialect.Dialect
	Log      io.Writer
	// Reload signals that the settings file has changed; Read reads it. Both may be
	// nil.
	Reload <-chan os.Signal
	Read   func() (crsite.Settings, error)
}

// Run starts a daemon, serves until ctx is cancelled, drains, and returns.
func Run(ctx context.Context, opts Options) error {
	// net/http logs unsolicited response bytes to the standard logger. They may
	// contain account data, and such lines are not numbered events.
	log.SetOutput(io.Discard)
	if m := opts.Settings.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(m) * (1 << 20)))
	}
	var d *daemon
	app := fx.New(
		fx.Supply(opts),
		fx.Provide(
			crlog.NewQueue, newLogger, newBalancer, newExit, newPeerClient, newBudget, newLoop, newOwnerLimiter, newPoolOwner, newRetryPool, newFeed, newFollower, newChannel, crcrash.NewTracker, newQuota, newEntry,
			newDaemon, newMeters, metrics.NewRegistry,
		),
		fx.Populate(&d),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble the daemon: %w", err)
	}
	return d.run(ctx)
}

func newLogger(opts Options, q *crlog.Queue) *crlog.Logger {
	return crlog.New(q, opts.Settings.Log, opts.Settings.Name)
}

func newBalancer() *crplace.Balancer { return crplace.NewBalancer() }

func newExit(opts Options, l *crlog.Logger, loop *loop, crashes *crcrash.Tracker) *cregress.Exit {
	x := cregress.New(cregress.Options{
		Self: crid.Daemon(opts.Settings.Address), Crashes: crashes, Service: opts.Settings.Service, Address: opts.Settings.Target, Dialect: opts.Dialect, Clock: crclock.Now,
		Started: crclock.Now(), Log: l, OnTargetChange: func() { loop.emit(crmesh.TargetChanged{Now: crclock.Now()}) },
		OnTargetEnd: func() { loop.emit(crmesh.TargetChanged{Now: crclock.Now(), Ended: true}) },
		OnOffer:     func(from crid.Daemon) { loop.emit(crmesh.OfferReceived{Now: crclock.Now(), From: from}) },
	})
	return x
}

func newPeerClient(opts Options) *croffer.Client {
	return croffer.NewClient(opts.Settings.Listen.Ports[0])
}

func newBudget(opts Options) *crbudget.Budget {
	own, _ := crbudget.Split(retryLimit(opts))
	return crbudget.New(own, crbudget.Start{At: crclock.Now(), Successor: !opts.Settings.First})
}

// retryLimit is the limit of the fleet's retries.
func retryLimit(opts Options) crbudget.Params {
	b := opts.Settings.Bounds
	return crbudget.Params{Ratio: b.Ratio, Slack: b.Slack, Window: b.RetryWindow()}
}

func newFeed(opts Options, loop *loop, peers *croffer.Client, l *crlog.Logger) *crfeed.Feed {
	return crfeed.New(crfeed.Options{
		Self: crid.Daemon(opts.Settings.Address), Seeds: seeds(opts.Settings), Store: opts.Store, Peers: peers, Clock: crclock.Now,
		Readers: func() []crid.Daemon { return loop.view.Load().Readers }, ReadersPending: func() bool { return loop.view.Load().ReadersPending },
		Log: l,
	})
}

func newFollower(opts Options, loop *loop, feed *crfeed.Feed, l *crlog.Logger) *crwatch.Follower {
	return crwatch.New(crwatch.Options{
		Store: feed, Decoder: opts.Decoder, Clock: crclock.Now, Emit: loop.emit, Log: l,
		ReaderCount: func() int { return loop.view.Load().StoreReaders }, ReadsFirst: func() bool { return loop.view.Load().ReadsFirst },
	})
}

func newEntry(
	opts Options, x *cregress.Exit, peers *croffer.Client, balancer *crplace.Balancer, budget *crbudget.Budget, pool *retryPool, q *quota, m *meters, l *crlog.Logger,
	crashes *crcrash.Tracker,
) *cringress.Entry {
	s := opts.Settings
	return cringress.New(cringress.Options{
		Self: crid.Daemon(s.Address), Domain: s.Domain, Regions: s.Regions, Service: s.Service, Dialect: opts.Dialect, Clock: crclock.Now,
		Local: x, Peers: peers, Balancer: balancer, Budget: budget, Calls: crbudget.NewCallCosts(), Crashes: crashes, Pool: pool, Attempts: crattempt.NewTracker(), Sizes: crsize.NewTracker(), Quota: q, Meter: m, Log: l,
	})
}

// seeds returns the daemons listed as seeds in the settings.
func seeds(s crsite.Settings) []crid.Daemon {
	out := make([]crid.Daemon, 0, len(s.Seeds))
	for _, address := range s.Seeds {
		if host, _, err := net.SplitHostPort(address); err == nil {
			out = append(out, crid.Daemon(host))
		}
	}
	return out
}

func peerAddress(s crsite.Settings) string {
	return net.JoinHostPort(s.PeerListenHost(), strconv.Itoa(s.Listen.Ports[0]))
}

// startTasks runs the tasks concurrently. The first error cancels the others.
func startTasks(ctx context.Context, tasks ...func(context.Context) error) *errgroup.Group {
	g, ctx := errgroup.WithContext(ctx)
	for _, task := range tasks {
		g.Go(func() error { return task(ctx) })
	}
	return g
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
