// Package crdaemon assembles and runs the daemon of `camphorroad serve`: entry,
// exit, sessions with other daemons, the control loop, and the admin endpoints.
// The reducers that it runs are in core/crdaemon. The daemon of `camphorroad join`,
// which finds its fleet through records in the store, is in io/crmesh.
//
// # Usage
//
//	err := crdaemon.Run(ctx, cfg, os.Stderr, reload) // serves until ctx ends, then drains
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
	startTimeout      = 10 * time.Second
	stopTimeout       = 5 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// drainNoticePeriod is how long a stopping daemon still accepts new requests after
	// it has notified its peers, for requests that they sent before they got the
	// notification.
	drainNoticePeriod = 300 * time.Millisecond
	// maxUnreadyWait is how long a daemon that cannot serve requests accepts no
	// connections of callers.
	maxUnreadyWait    = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Run starts a daemon, serves until ctx ends, drains, and returns. Each value on
// reload makes it reload its certificates. The channel may be nil.
func Run(ctx context.Context, cfg crsettings.Settings, logTo io.Writer, reload <-chan os.Signal) error {
	// net/http writes the first bytes of unsolicited responses to the standard
	// logger. They can contain data of an account, so they must not be logged.
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
			newInstruments,
			newIdentity,
			newCallerCertificate,
			newWireRegistry,
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
		return fmt.Errorf("assemble the daemon: %w", err)
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

// newCallerCertificate returns nil if callers connect without TLS.
func newCallerCertificate(cfg crsettings.Settings) (*crentry.Certificate, error) {
	if cfg.TLS.CallerCert == "" {
		return nil, nil
	}
	return crentry.LoadCertificate(cfg.TLS.CallerCert, cfg.TLS.CallerKey)
}

func newWireRegistry() (*crwire.Registry, error) {
	return crwire.NewRegistry(crmember.Messages(), crconfig.Messages(), craccount.Messages(), crhealth.Messages())
}

func newPlatform(cfg crsettings.Settings) (*crplatform.Client, error) {
	return crplatform.NewClient(cfg.Platform.URL)
}

func newExit(cfg crsettings.Settings, pauseDetector *crforward.PauseDetector, m *instruments, rec *crhealth.Recorder) *crexit.Exit {
	specs := make([]crexit.TargetSpec, 0, len(cfg.Targets))
	for _, t := range cfg.Targets {
		specs = append(specs, crexit.TargetSpec{Name: crid.Target(t.Name), Service: crid.Service(t.Service), Addr: t.Addr})
	}
	return crexit.New(crexit.Options{
		Targets: specs, PauseDetector: pauseDetector, Clock: crclock.Now, Observe: m.observeRun, BodyIdleTimeout: cfg.Limits.BodyIdle.Duration,
		ReportedUnhealthy: rec.SetReportedUnhealthy,
		Probe: func(target crid.Target, ok bool, took time.Duration) {
			rec.Record(target, probeResult(ok), took, crhealth.ProbeAccount)
		},
	})
}

func newShell(
	lc fx.Lifecycle, cfg crsettings.Settings, log *crlog.Logger, pauseDetector *crforward.PauseDetector, exit *crexit.Exit, m *instruments,
	rec *crhealth.Recorder,
) (*shell, error) {
	s := &shell{
		self:          cfg.Daemon(),
		log:           log,
		clock:         crclock.Now,
		pauseDetector: pauseDetector,
		exit:          exit,
		loads:         crview.NewLoadRegistry(),
	}
	s.viewInput = crview.Input{Self: s.self, Domain: crid.Domain(cfg.Domain), Loads: s.loads}
	s.tokenPool = craccount.NewTokenPool()
	s.localSplit = newLocalSplit(cfg.Policy, s)
	s.recorder = rec
	s.routing = make(map[crid.Service]crhealth.RoutingUpdate)
	params := crdaemon.DefaultParams()
	params.Config.FleetSize = cfg.Platform.FleetSize
	params.Health = healthParams(cfg.Policy)
	opts := crcontrol.Options{
		Clock: crclock.Now, Execute: s.execute, Collect: s.collect, Wake: s.tokenPool.DrainNeeded(), ObserveStep: m.observeStep,
	}
	parse, load := crconfig.Parser(crpolicyfile.ParseManifest), crconfig.Loader(crpolicyfile.NewLoader().Load)
	if cfg.Trace.File != "" {
		trace, err := newTraceRecorder(lc, cfg.Trace, params, log)
		if err != nil {
			return nil, err
		}
		opts.Recorder = trace
		parse, load = trace.WrapParser(parse), trace.WrapLoader(load)
	}
	control := crdaemon.NewReducers(params, parse, load)
	s.config, s.account = control.Config, control.Account
	s.loop = crcontrol.New(control.Root, opts)
	return s, nil
}

func newTraceRecorder(lc fx.Lifecycle, cfg crsettings.Trace, params crdaemon.Params, log *crlog.Logger) (*crtrace.Recorder, error) {
	rec, err := crtrace.Create(cfg.File, crtrace.Options{
		Params:   params,
		MaxBytes: cfg.MaxBytes,
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
		View:     s.view.Load,
		Trusted:  s.isTrusted,
		Admitter: s,
		Forwarder: &forwarder{
			self: s.self, exit: s.exit, client: crhop.NewClient(peers), clock: crclock.Now,
			recorder: s.recorder, maxBuffered: int64(cfg.Limits.ReplayBytes),
		},
		Clock:           crclock.Now,
		Observe:         s.recordAttempt,
		Picker:          newPicker(cfg.Policy),
		ReplayBytes:     cfg.Limits.ReplayBytes,
		MaxInFlight:     int64(cfg.Limits.HoldInFlight),
		BodyIdleTimeout: cfg.Limits.BodyIdle.Duration,
	})
}

// daemon holds the servers and components of a running daemon.
type daemon struct {
	cfg          crsettings.Settings
	log          *crlog.Logger
	shell        *shell
	entry        *crentry.Entry
	exit         *crexit.Exit
	peerID       *crpeer.Identity
	callerCert   *crentry.Certificate // nil: callers connect without TLS
	callerServer *http.Server
	adminServer  *http.Server
	cancel       context.CancelFunc
}

func newDaemon(
	lc fx.Lifecycle, cfg crsettings.Settings, log *crlog.Logger, s *shell, entry *crentry.Entry,
	exit *crexit.Exit, registry metrics.Registry, m *instruments, id *crpeer.Identity, cert *crentry.Certificate,
	platform *crplatform.Client,
) (*daemon, error) {
	if err := register(registry, slices.Concat(entryGauges(entry), s.gauges(exit), processGauges())); err != nil {
		return nil, fmt.Errorf("register metrics: %w", err)
	}
	d := &daemon{cfg: cfg, log: log, shell: s, entry: entry, exit: exit, peerID: id, callerCert: cert}
	d.callerServer = crentry.NewServer(m.timeRequests(entry, crclock.Now), crentry.ServerOptions{
		MaxHeaderBytes:    cfg.Limits.HeaderBytes,
		ReadHeaderTimeout: cfg.Limits.HeaderTime.Duration,
	})
	d.adminServer = &http.Server{
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
		return fmt.Errorf("listen for admin requests: %w", err)
	}
	d.log.Event(crlog.DaemonStarted, crlog.Fields{
		"http": d.cfg.Listen.HTTP, "peer": d.shell.peers.Addr(), "admin": admin.Addr().String(),
	})
	d.shell.reader = &platformReader{
		ctx: ctx, client: platform, loop: d.shell.loop, clock: crclock.Now,
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
	go func() { _ = d.adminServer.Serve(admin) }()
	return nil
}

// serveCallers accepts connections once this daemon can serve requests, so that
// until then callers fail fast and try another address. After maxUnreadyWait it
// accepts them in any case and refuses requests with a reason: this daemon may be
// the only one that they reach.
func (d *daemon) serveCallers(ctx context.Context, reservation *crentry.Reservation) {
	if !d.awaitServing(ctx) {
		_ = reservation.Close()
		return
	}
	ln, err := reservation.Listen()
	if err != nil {
		d.log.Event(crlog.CallerListenFailed, crlog.Fields{"error": err.Error()})
		return
	}
	d.log.Event(crlog.CallersAccepted, crlog.Fields{"service": readyText(d.shell.checkServing())})
	d.shell.listening.Store(true)
	if d.callerCert == nil {
		_ = d.callerServer.Serve(ln)
		return
	}
	d.callerServer.TLSConfig = d.callerCert.Config()
	_ = d.callerServer.ServeTLS(ln, "", "")
}

// awaitServing waits until the daemon can serve requests, or maxUnreadyWait has
// passed. It returns false if ctx ends first.
func (d *daemon) awaitServing(ctx context.Context) bool {
	timeout := time.NewTimer(maxUnreadyWait)
	defer timeout.Stop()
	poll := time.NewTicker(readyPollInterval)
	defer poll.Stop()
	for d.shell.checkServing() != nil {
		select {
		case <-ctx.Done():
			return false
		case <-timeout.C:
			return true
		case <-poll.C:
		}
	}
	return true
}

// serve reloads certificates on request until ctx ends, then drains.
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

// reload reloads all certificates. If one cannot be loaded, the previous one stays in
// use, and the other is reloaded all the same.
func (d *daemon) reload() {
	err := d.peerID.Reload()
	if d.callerCert != nil {
		err = errors.Join(err, d.callerCert.Reload())
	}
	if err != nil {
		d.log.Event(crlog.CertReloadFailed, crlog.Fields{"error": err.Error()})
		return
	}
	d.log.Event(crlog.CertReloaded, nil)
}

// drain notifies the peers, then refuses new requests, and waits until the requests
// in flight have finished.
func (d *daemon) drain() error {
	d.log.Event(crlog.DaemonDraining, nil)
	_ = d.shell.loop.Post(crevent.Stopping{Now: crclock.Now()})
	time.Sleep(drainNoticePeriod)
	d.entry.Drain()
	d.exit.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.Limits.DrainTime.Duration)
	defer cancel()
	err := d.callerServer.Shutdown(ctx)
	for err == nil && d.exit.InFlight()+d.exit.PendingDeliveries() > 0 {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(drainPollInterval):
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
	err := errors.Join(d.callerServer.Close(), d.adminServer.Shutdown(ctx))
	d.log.Event(crlog.DaemonStopped, nil)
	return err
}
