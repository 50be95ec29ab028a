// Package crdaemon wires one daemon together and runs it: entry, exit, sessions
// with the other daemons, the control loop, and the operators' pages.
//
// # Usage
//
//	err := crdaemon.Run(ctx, cfg, os.Stderr, reload) // until ctx ends, then drains
package crdaemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
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
	"camphorroad/io/crtrace"
	"camphorroad/io/crwire"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 5 * time.Second
	drainPoll    = 20 * time.Millisecond
	// settle is how long a stopping daemon still takes new work after it has
	// told its peers: what they have sent meanwhile is on its way.
	settle = 300 * time.Millisecond
	// unreadyTime is how long a daemon that can not serve takes no connections.
	unreadyTime = 15 * time.Second
	readyPoll   = 20 * time.Millisecond
)

// Run starts a daemon, serves until ctx ends, drains, and returns. A value on
// reload makes it read its certificates again; the channel may be nil.
func Run(ctx context.Context, cfg crsettings.Settings, logTo io.Writer, reload <-chan os.Signal) error {
	// net/http prints the first bytes of answers that nobody asked for to the
	// standard logger: some account's data, outside of the numbered events.
	log.SetOutput(io.Discard)
	var d *daemon
	app := fx.New(
		fx.Supply(cfg),
		fx.Provide(
			func() *crlog.Logger { return crlog.New(logTo, cfg.Log.Level, cfg.Name) },
			func() *crforward.PauseDetector {
				return crforward.NewPauseDetector(crforward.DefaultPauseThreshold, crclock.Now())
			},
			metrics.NewRegistry,
			crhealth.NewRecorder,
			newMeters,
			newIdentity,
			newCertificate,
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
	serveErr := d.serve(ctx, reload)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Join(serveErr, app.Stop(stopCtx))
}

func newIdentity(cfg crsettings.Settings) (*crpeer.Identity, error) {
	return crpeer.LoadIdentity(cfg.TLS.Cert, cfg.TLS.Key, cfg.TLS.CA)
}

// newCertificate returns nil where callers come in clear text.
func newCertificate(cfg crsettings.Settings) (*crentry.Certificate, error) {
	if cfg.TLS.CallerCert == "" {
		return nil, nil
	}
	return crentry.LoadCertificate(cfg.TLS.CallerCert, cfg.TLS.CallerKey)
}

func newRegistry() (*crwire.Registry, error) {
	return crwire.NewRegistry(crmember.Messages(), crconfig.Messages(), craccount.Messages(), crhealth.Messages())
}

func newPlatform(cfg crsettings.Settings) (*crplatform.Client, error) {
	return crplatform.NewClient(cfg.Platform.URL)
}

func newExit(cfg crsettings.Settings, pulse *crforward.PauseDetector, m *meters, rec *crhealth.Recorder) *crexit.Exit {
	specs := make([]crexit.Spec, 0, len(cfg.Targets))
	for _, t := range cfg.Targets {
		specs = append(specs, crexit.Spec{Name: crid.Target(t.Name), Service: crid.Service(t.Service), Addr: t.Addr})
	}
	return crexit.New(crexit.Options{
		Targets: specs, Pulse: pulse, Clock: crclock.Now, Observe: m.ran, Idle: cfg.Limits.BodyIdle.Duration,
		Hint: rec.SetReportedUnhealthy,
		Probe: func(target crid.Target, ok bool, took time.Duration) {
			rec.Record(target, probeResult(ok), took, crhealth.ProbeAccount)
		},
	})
}

func newShell(
	lc fx.Lifecycle, cfg crsettings.Settings, log *crlog.Logger, pulse *crforward.PauseDetector, exit *crexit.Exit, m *meters,
	rec *crhealth.Recorder,
) (*shell, error) {
	s := &shell{
		self:  cfg.Daemon(),
		log:   log,
		clock: crclock.Now,
		pulse: pulse,
		exit:  exit,
		loads: crview.NewLoadRegistry(),
	}
	s.in = crview.Input{Self: s.self, Domain: crid.Domain(cfg.Domain), Loads: s.loads}
	s.wallet = craccount.NewTokenPool()
	s.split = newSplit(cfg.Policy, s)
	s.recorder = rec
	s.steers = make(map[crid.Service]crhealth.RoutingUpdate)
	params := crdaemon.DefaultParams()
	params.Config.FleetSize = cfg.Platform.Fleet
	params.Health = healthParams(cfg.Policy)
	opts := crcontrol.Options{
		Clock: crclock.Now, Do: s.do, Before: s.before, Wake: s.wallet.DrainNeeded(), Stepped: m.stepped,
	}
	parse, load := crconfig.Parser(crpolicyfile.ParseManifest), crconfig.Loader(crpolicyfile.NewLoader().Load)
	if cfg.Trace.File != "" {
		rec, err := newRecorder(lc, cfg.Trace, params, log)
		if err != nil {
			return nil, err
		}
		opts.Recorder = rec
		parse, load = rec.WrapParser(parse), rec.WrapLoader(load)
	}
	control := crdaemon.NewReducers(params, parse, load)
	s.config, s.account = control.Config, control.Account
	s.loop = crcontrol.New(control.Root, opts)
	return s, nil
}

func newRecorder(lc fx.Lifecycle, cfg crsettings.Trace, params crdaemon.Params, log *crlog.Logger) (*crtrace.Recorder, error) {
	rec, err := crtrace.Create(cfg.File, crtrace.Options{
		Params:   params,
		MaxBytes: cfg.Size,
		OnStop:   func(err error) { log.Event(crlog.TraceStopped, crlog.Fields{"error": err.Error()}) },
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(rec.Close))
	return rec, nil
}

func newPeers(
	lc fx.Lifecycle, cfg crsettings.Settings, id *crpeer.Identity, reg *crwire.Registry, s *shell,
) (*crpeer.Transport, error) {
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
		Hop: &hop{
			self: s.self, exit: s.exit, client: crhop.NewClient(peers), clock: crclock.Now,
			recorder: s.recorder, replay: int64(cfg.Limits.ReplayBytes),
		},
		Clock:   crclock.Now,
		Observe: s.observe,
		Chooser: newChooser(cfg.Policy),
		Replay:  cfg.Limits.ReplayBytes,
		Held:    int64(cfg.Limits.HoldInFlight),
		Idle:    cfg.Limits.BodyIdle.Duration,
	})
}

// daemon is the running whole.
type daemon struct {
	cfg     crsettings.Settings
	log     *crlog.Logger
	shell   *shell
	entry   *crentry.Entry
	exit    *crexit.Exit
	peerID  *crpeer.Identity
	cert    *crentry.Certificate // nil: callers come in clear text
	callers *http.Server
	admin   *http.Server
	cancel  context.CancelFunc
}

func newDaemon(
	lc fx.Lifecycle, cfg crsettings.Settings, log *crlog.Logger, s *shell, entry *crentry.Entry,
	exit *crexit.Exit, registry metrics.Registry, m *meters, id *crpeer.Identity, cert *crentry.Certificate,
	platform *crplatform.Client,
) (*daemon, error) {
	if err := register(registry, slices.Concat(entryGauges(entry), s.gauges(exit), processGauges())); err != nil {
		return nil, fmt.Errorf("register metrics: %w", err)
	}
	d := &daemon{cfg: cfg, log: log, shell: s, entry: entry, exit: exit, peerID: id, cert: cert}
	d.callers = crentry.NewServer(m.timed(entry, crclock.Now), crentry.ServerOptions{
		HeaderBytes: cfg.Limits.HeaderBytes,
		HeaderTime:  cfg.Limits.HeaderTime.Duration,
	})
	d.admin = &http.Server{
		Handler:           cradmin.New(cradmin.Options{Ready: s.checkReady, State: d.state, Metrics: registry}),
		ReadHeaderTimeout: cfg.Limits.HeaderTime.Duration,
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	lc.Append(fx.StartStopHook(
		func(startCtx context.Context) error { return d.start(startCtx, ctx, platform) },
		d.stop,
	))
	return d, nil
}

func (d *daemon) start(startCtx, ctx context.Context, platform *crplatform.Client) error {
	var lc net.ListenConfig
	callers, err := crentry.Reserve(d.cfg.Listen.HTTP)
	if err != nil {
		return err
	}
	admin, err := lc.Listen(startCtx, "tcp", d.cfg.Listen.Admin)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	d.log.Event(crlog.DaemonStarted, crlog.Fields{
		"http": d.cfg.Listen.HTTP, "peer": d.shell.peers.Addr(), "admin": admin.Addr().String(),
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
	go d.exit.Watch(ctx)
	go d.serveCallers(ctx, callers)
	go func() { _ = d.admin.Serve(admin) }()
	return nil
}

// serveCallers takes connections once this daemon can serve, so that callers of a
// fresh one try another address at once. One that can not for long takes them all
// the same, and says why it refuses: it may be the only one that they reach.
func (d *daemon) serveCallers(ctx context.Context, at *crentry.Reservation) {
	if !d.awaitService(ctx) {
		_ = at.Close()
		return
	}
	ln, err := at.Listen()
	if err != nil {
		d.log.Event(crlog.CallersRefused, crlog.Fields{"error": err.Error()})
		return
	}
	d.log.Event(crlog.CallersTaken, crlog.Fields{"service": readyWord(d.shell.checkService())})
	d.shell.listening.Store(true)
	if d.cert == nil {
		_ = d.callers.Serve(ln)
		return
	}
	d.callers.TLSConfig = d.cert.Config()
	_ = d.callers.ServeTLS(ln, "", "")
}

// awaitService returns once the daemon can serve, or has tried for long; false at
// its stop.
func (d *daemon) awaitService(ctx context.Context) bool {
	long := time.NewTimer(unreadyTime)
	defer long.Stop()
	poll := time.NewTicker(readyPoll)
	defer poll.Stop()
	for d.shell.checkService() != nil {
		select {
		case <-ctx.Done():
			return false
		case <-long.C:
			return true
		case <-poll.C:
		}
	}
	return true
}

// serve waits for the stop signal, reloading certificates meanwhile, and drains.
func (d *daemon) serve(ctx context.Context, reload <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return d.drain()
		case <-reload:
			d.reload()
		}
	}
}

// reload reads all certificates again. One that can not be read stays as it was
// and does not keep the other from being renewed.
func (d *daemon) reload() {
	err := d.peerID.Reload()
	if d.cert != nil {
		err = errors.Join(err, d.cert.Reload())
	}
	if err != nil {
		d.log.Event(crlog.CertReloadError, crlog.Fields{"error": err.Error()})
		return
	}
	d.log.Event(crlog.CertReloaded, nil)
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
	for err == nil && d.exit.InFlight()+d.exit.Delivering() > 0 {
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
