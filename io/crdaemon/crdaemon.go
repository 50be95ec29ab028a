// Package crdaemon wires one daemon together and runs it: entry, exit, sessions
// with the other daemons, the control loop, and the operators' pages.
//
// # Usage
//
//	err := crdaemon.Run(ctx, cfg, os.Stderr) // until ctx ends, then drains
package crdaemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"camphorroad/core/craccount"
	"camphorroad/core/crconfig"
	"camphorroad/core/crdaemon"
	"camphorroad/core/crevent"
	"camphorroad/core/crforward"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
	"camphorroad/core/crview"
	"camphorroad/io/cradmin"
	"camphorroad/io/crclock"
	"camphorroad/io/crcontrol"
	"camphorroad/io/crentry"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
	"camphorroad/io/crlog"
	"camphorroad/io/crpeer"
	"camphorroad/io/crplatform"
	"camphorroad/io/crpolicyfile"
	"camphorroad/io/crsettings"
	"camphorroad/io/crwire"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 5 * time.Second
	drainPoll    = 20 * time.Millisecond
	// settle is how long a stopping daemon still takes new work after it has
	// told its peers: what they have sent meanwhile is on its way.
	settle = 300 * time.Millisecond
)

// Run starts a daemon, serves until ctx ends, drains, and returns.
func Run(ctx context.Context, cfg crsettings.Settings, logTo io.Writer) error {
	var d *daemon
	app := fx.New(
		fx.Supply(cfg),
		fx.Provide(
			func() *crlog.Logger { return crlog.New(logTo, cfg.Log.Level, cfg.Name) },
			func() *crforward.Pulse { return crforward.NewPulse(crforward.DefaultPulseLimit, crclock.Now()) },
			metrics.NewRegistry,
			newMeters,
			newIdentity,
			newRegistry,
			newExit,
			newPlatform,
			newShell,
			newPeers,
			newEntry,
			newDaemon,
		),
		fx.Populate(&d),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("wire the daemon: %w", err)
	}
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	serveErr := d.serve(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Join(serveErr, app.Stop(stopCtx))
}

func newIdentity(cfg crsettings.Settings) (*crpeer.Identity, error) {
	return crpeer.LoadIdentity(cfg.TLS.Cert, cfg.TLS.Key, cfg.TLS.CA)
}

func newRegistry() (*crwire.Registry, error) {
	return crwire.NewRegistry(crmember.Messages(), crconfig.Messages(), craccount.Messages(), crhealth.Messages())
}

func newPlatform(cfg crsettings.Settings) (*crplatform.Client, error) {
	return crplatform.NewClient(cfg.Platform.URL)
}

func newExit(cfg crsettings.Settings, pulse *crforward.Pulse, m *meters) *crexit.Exit {
	specs := make([]crexit.Spec, 0, len(cfg.Targets))
	for _, t := range cfg.Targets {
		specs = append(specs, crexit.Spec{Name: crid.Target(t.Name), Service: crid.Service(t.Service), Addr: t.Addr})
	}
	return crexit.New(crexit.Options{Targets: specs, Pulse: pulse, Clock: crclock.Now, Observe: m.ran})
}

func newShell(cfg crsettings.Settings, log *crlog.Logger, pulse *crforward.Pulse, exit *crexit.Exit, m *meters) *shell {
	s := &shell{
		self:  cfg.Daemon(),
		log:   log,
		clock: crclock.Now,
		pulse: pulse,
		exit:  exit,
		loads: crview.NewLoads(),
	}
	s.in = crview.Input{Self: s.self, Domain: crid.Domain(cfg.Domain), Loads: s.loads}
	s.wallet = craccount.NewWallet()
	s.split = newSplit(cfg.Policy, s)
	s.recorder = crhealth.NewRecorder()
	s.steers = make(map[crid.Service]crhealth.Steer)
	params := crconfig.DefaultParams()
	params.Fleet = cfg.Platform.Fleet
	s.account = craccount.New(craccount.DefaultParams())
	s.config = crconfig.New(params, crpolicyfile.ParseManifest, crpolicyfile.Load)
	root := crdaemon.New(
		crdaemon.Part{Name: "member", Reducer: crmember.New(crmember.DefaultParams())},
		crdaemon.Part{Name: "config", Reducer: s.config},
		crdaemon.Part{Name: "account", Reducer: s.account},
		crdaemon.Part{Name: "health", Reducer: crhealth.New(healthParams(cfg.Policy))},
	)
	s.loop = crcontrol.New(root, crcontrol.Options{
		Clock: crclock.Now, Do: s.do, Before: s.before, Wake: s.wallet.Wanted(), Stepped: m.stepped,
	})
	return s
}

func newPeers(lc fx.Lifecycle, cfg crsettings.Settings, id *crpeer.Identity, reg *crwire.Registry, s *shell) (*crpeer.Transport, error) {
	t, err := crpeer.Listen(context.Background(), crpeer.Options{Addr: cfg.Listen.Peer, Identity: id, Registry: reg, Handler: s})
	if err != nil {
		return nil, err
	}
	s.peers = t
	lc.Append(fx.StopHook(t.Close))
	return t, nil
}

func newEntry(cfg crsettings.Settings, s *shell, peers *crpeer.Transport) *crentry.Entry {
	return crentry.New(crentry.Options{
		View:    s.view.Load,
		Trusted: s.isTrusted,
		Admit:   s,
		Hop:     &hop{self: s.self, exit: s.exit, client: crhop.NewClient(peers), clock: crclock.Now},
		Clock:   crclock.Now,
		Observe: s.observe,
		Chooser: newChooser(cfg.Policy),
		Replay:  cfg.Limits.ReplayBytes,
		Held:    int64(cfg.Limits.HoldInFlight),
	})
}

// daemon is the running whole.
type daemon struct {
	cfg     crsettings.Settings
	log     *crlog.Logger
	shell   *shell
	entry   *crentry.Entry
	exit    *crexit.Exit
	callers *http.Server
	admin   *http.Server
	cancel  context.CancelFunc
}

func newDaemon(
	lc fx.Lifecycle, cfg crsettings.Settings, log *crlog.Logger, s *shell, entry *crentry.Entry,
	exit *crexit.Exit, registry metrics.Registry, m *meters, id *crpeer.Identity, platform *crplatform.Client,
) (*daemon, error) {
	if err := register(registry, slices.Concat(entryGauges(entry), s.gauges(exit), processGauges())); err != nil {
		return nil, fmt.Errorf("register metrics: %w", err)
	}
	d := &daemon{cfg: cfg, log: log, shell: s, entry: entry, exit: exit}
	d.callers = callerServer(cfg, m.timed(entry, crclock.Now))
	d.admin = &http.Server{
		Handler:           cradmin.New(cradmin.Options{Ready: s.checkReady, State: d.state, Metrics: registry}),
		ReadHeaderTimeout: cfg.Limits.HeaderTime.Duration,
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	lc.Append(fx.StartStopHook(
		func(startCtx context.Context) error { return d.start(startCtx, ctx, id, platform) },
		d.stop,
	))
	return d, nil
}

// callerServer takes HTTP/1.1 and HTTP/2, the latter also in clear text.
func callerServer(cfg crsettings.Settings, h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: cfg.Limits.HeaderTime.Duration,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    cfg.Limits.HeaderBytes,
	}
}

func (d *daemon) start(startCtx, ctx context.Context, _ *crpeer.Identity, platform *crplatform.Client) error {
	var lc net.ListenConfig
	callers, err := lc.Listen(startCtx, "tcp", d.cfg.Listen.HTTP)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	admin, err := lc.Listen(startCtx, "tcp", d.cfg.Listen.Admin)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	d.log.Event(crlog.DaemonStarted, crlog.Fields{
		"http": callers.Addr().String(), "peer": d.shell.peers.Addr(), "admin": admin.Addr().String(),
	})
	d.shell.reader = &reader{
		ctx: ctx, port: platform, loop: d.shell.loop, clock: crclock.Now,
		timeout: crconfig.DefaultParams().ReadTimeout,
	}
	go d.shell.loop.Run(ctx)
	started := crevent.Started{
		Now: crclock.Now(), Self: d.cfg.Daemon(), Domain: crid.Domain(d.cfg.Domain),
		Incarnation: crid.Incarnation(rand.Uint64() | 1), Seed: rand.Uint64(),
	}
	if err := d.shell.loop.Post(started); err != nil {
		return err
	}
	go d.serveCallers(callers)
	go func() { _ = d.admin.Serve(admin) }()
	return nil
}

func (d *daemon) serveCallers(ln net.Listener) {
	if d.cfg.TLS.CallerCert != "" {
		_ = d.callers.ServeTLS(ln, d.cfg.TLS.CallerCert, d.cfg.TLS.CallerKey)
		return
	}
	_ = d.callers.Serve(ln)
}

// serve waits for the stop signal and drains.
func (d *daemon) serve(ctx context.Context) error {
	<-ctx.Done()
	return d.drain()
}

// drain refuses new work once the peers know, and waits until what is in flight
// has finished.
func (d *daemon) drain() error {
	d.log.Event(crlog.DaemonDraining, nil)
	_ = d.shell.loop.Post(crevent.Stopping{Now: crclock.Now()})
	time.Sleep(settle)
	d.entry.Stop()
	d.exit.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.Limits.DrainTime.Duration)
	defer cancel()
	err := d.callers.Shutdown(ctx)
	for err == nil && d.exit.InFlight() > 0 {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(drainPoll):
		}
	}
	if err != nil {
		d.log.Event(crlog.DrainIncomplete, crlog.Fields{"error": err.Error()})
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}

func (d *daemon) stop(ctx context.Context) error {
	d.cancel()
	err := errors.Join(d.callers.Close(), d.admin.Shutdown(ctx))
	d.log.Event(crlog.DaemonStopped, nil)
	return err
}
