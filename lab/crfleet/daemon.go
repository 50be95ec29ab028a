package crfleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"camphorroad/io/crcert"
)

// Errors of a daemon's process.
var (
	ErrNotStarted  = errors.New("the daemon was not started")
	ErrExitTimeout = errors.New("the daemon did not exit in time")
)

// exitTimeout limits the wait for the exit of a killed process.
const exitTimeout = 10 * time.Second

// Daemon is a daemon of the fleet. Its process can be started again after its exit.
type Daemon struct {
	fleet      *Fleet
	name       string
	domain     string
	configPath string
	httpAddr   string
	peerAddr   string
	adminAddr  string
	log        *logBuffer
	targets    []*Target

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed at the exit of the process
	err  error         // exit error of the last process; valid once done is closed
}

// logBuffer collects the standard error output of the processes.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func newDaemon(f *Fleet, i int) (*Daemon, error) {
	d := &Daemon{
		fleet:  f,
		name:   fmt.Sprintf("daemon-%d", i+1),
		domain: f.opts.domains[i%len(f.opts.domains)],
		log:    &logBuffer{},
	}
	var err error
	if d.httpAddr, err = freeTCP(); err != nil {
		return nil, err
	}
	if d.peerAddr, err = freeUDP(); err != nil {
		return nil, err
	}
	if d.adminAddr, err = freeTCP(); err != nil {
		return nil, err
	}
	if err := crcert.Issue(f.dir, d.name); err != nil {
		return nil, err
	}
	return d, f.links.add(d.name, d.peerAddr)
}

const settingsFormat = `name = %q
domain = %q
[listen]
http = %q
peer = %q
admin = %q
[platform]
url = %q
[tls]
cert = %q
key = %q
ca = %q
`

const targetFormat = `[[target]]
name = %q
service = %q
addr = %q
`

const settingsMode = 0o600

func (d *Daemon) writeSettings() error {
	dir := d.fleet.dir
	text := fmt.Appendf(nil, settingsFormat, d.name, d.domain, d.httpAddr, d.peerAddr, d.adminAddr, d.fleet.server.URL,
		filepath.Join(dir, d.name+".pem"), filepath.Join(dir, d.name+".key"), filepath.Join(dir, "ca.pem"))
	for _, t := range d.targets {
		text = fmt.Appendf(text, targetFormat, t.name, t.service, t.addr())
	}
	text = append(text, strings.ReplaceAll(d.fleet.opts.settings, "{daemon}", d.name)...)
	d.configPath = filepath.Join(dir, d.name+".toml")
	if err := os.WriteFile(d.configPath, text, settingsMode); err != nil {
		return fmt.Errorf("settings of %s: %w", d.name, err)
	}
	return nil
}

// Name returns the daemon's name.
func (d *Daemon) Name() string { return d.name }

// Domain returns the daemon's failure domain.
func (d *Daemon) Domain() string { return d.domain }

// URL returns the base URL for callers.
func (d *Daemon) URL() string { return "http://" + d.httpAddr }

// AdminURL returns the base URL of the admin listener.
func (d *Daemon) AdminURL() string { return "http://" + d.adminAddr }

// Targets returns the upstreams next to the daemon.
func (d *Daemon) Targets() []*Target { return append([]*Target(nil), d.targets...) }

// Log returns the standard error output of all processes of the daemon.
func (d *Daemon) Log() string { return d.log.String() }

// Start starts a process of the daemon. The previous one must have exited.
func (d *Daemon) Start() error {
	cmd := exec.CommandContext(d.fleet.ctx, d.fleet.opts.binary, "serve", "--config", d.configPath)
	cmd.Env = append(append(os.Environ(), daemonEnv+"=1"), d.fleet.opts.env...)
	cmd.Stderr = d.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done = cmd, done
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		d.err = err
		d.mu.Unlock()
		close(done)
	}()
	return nil
}

// Kill kills the process with SIGKILL, as in a machine failure, and waits for its exit.
func (d *Daemon) Kill() error {
	if err := d.signal(syscall.SIGKILL); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	if err := d.Wait(ctx); errors.Is(err, ErrExitTimeout) {
		return err
	}
	return nil
}

// Stop starts a graceful shutdown with SIGTERM; Wait waits for the exit.
func (d *Daemon) Stop() error { return d.signal(syscall.SIGTERM) }

// Suspend suspends the process.
func (d *Daemon) Suspend() error { return d.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (d *Daemon) Resume() error { return d.signal(syscall.SIGCONT) }

// PID returns the ID of the process started last.
func (d *Daemon) PID() int { return d.cmd.Process.Pid }

// Reload sends SIGHUP, on which the daemon reloads its certificates.
func (d *Daemon) Reload() error { return d.signal(syscall.SIGHUP) }

// CertFile returns the path of the daemon's peer certificate.
func (d *Daemon) CertFile() string { return filepath.Join(d.fleet.dir, d.name+".pem") }

// Wait waits for the exit of the process. It returns nil for exit code 0.
func (d *Daemon) Wait(ctx context.Context) error {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	if done == nil {
		return ErrNotStarted
	}
	select {
	case <-done:
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.err
	case <-ctx.Done():
		return fmt.Errorf("%s: %w", d.name, ErrExitTimeout)
	}
}

func (d *Daemon) signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return ErrNotStarted
	}
	if err := d.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", d.name, err)
	}
	return nil
}

// waitExit waits for the exit of the process after the fleet's context was canceled.
func (d *Daemon) waitExit() {
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	_ = d.Wait(ctx)
}
