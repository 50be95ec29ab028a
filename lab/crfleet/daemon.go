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
	ErrNotStarted = errors.New("the daemon was not started")
	ErrExitTimeout      = errors.New("the daemon did not end in time")
)

// endTime bounds the wait for a killed process.
const endTime = 10 * time.Second

// Daemon is one process of the fleet, through all its lives.
type Daemon struct {
	fleet   *Fleet
	name    string
	domain  string
	config  string
	http    string
	peer    string
	admin   string
	log     *logBuffer
	targets []*Target

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed at the process's end
	err  error         // of the last life, after done
}

// logBuffer keeps what the process wrote on standard error.
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
	if d.http, err = freeTCP(); err != nil {
		return nil, err
	}
	if d.peer, err = freeUDP(); err != nil {
		return nil, err
	}
	if d.admin, err = freeTCP(); err != nil {
		return nil, err
	}
	if err := crcert.Issue(f.dir, d.name); err != nil {
		return nil, err
	}
	return d, f.links.add(d.name, d.peer)
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

const modeSettings = 0o600

func (d *Daemon) writeSettings() error {
	dir := d.fleet.dir
	text := fmt.Appendf(nil, settingsFormat, d.name, d.domain, d.http, d.peer, d.admin, d.fleet.server.URL,
		filepath.Join(dir, d.name+".pem"), filepath.Join(dir, d.name+".key"), filepath.Join(dir, "ca.pem"))
	for _, t := range d.targets {
		text = fmt.Appendf(text, targetFormat, t.name, t.service, t.addr())
	}
	text = append(text, strings.ReplaceAll(d.fleet.opts.settings, "{daemon}", d.name)...)
	d.config = filepath.Join(dir, d.name+".toml")
	if err := os.WriteFile(d.config, text, modeSettings); err != nil {
		return fmt.Errorf("settings of %s: %w", d.name, err)
	}
	return nil
}

// Name is the daemon's name.
func (d *Daemon) Name() string { return d.name }

// Domain is its failure domain.
func (d *Daemon) Domain() string { return d.domain }

// URL is the base URL for callers.
func (d *Daemon) URL() string { return "http://" + d.http }

// AdminURL is the base URL for operators.
func (d *Daemon) AdminURL() string { return "http://" + d.admin }

// Targets are the upstreams beside it.
func (d *Daemon) Targets() []*Target { return append([]*Target(nil), d.targets...) }

// Log is what all its lives have written on standard error.
func (d *Daemon) Log() string { return d.log.String() }

// Start begins a life of the daemon. The former must have ended.
func (d *Daemon) Start() error {
	cmd := exec.CommandContext(d.fleet.ctx, d.fleet.opts.binary, "serve", "--config", d.config)
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

// Kill ends the process at once, as a machine's loss would, and waits for it.
func (d *Daemon) Kill() error {
	if err := d.signal(syscall.SIGKILL); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	if err := d.Wait(ctx); errors.Is(err, ErrExitTimeout) {
		return err
	}
	return nil
}

// Stop asks the process for a planned stop; Wait waits for its end.
func (d *Daemon) Stop() error { return d.signal(syscall.SIGTERM) }

// Suspend suspends the process.
func (d *Daemon) Suspend() error { return d.signal(syscall.SIGSTOP) }

// Resume lets a frozen process run again.
func (d *Daemon) Resume() error { return d.signal(syscall.SIGCONT) }

// PID is the number of the running process.
func (d *Daemon) PID() int { return d.cmd.Process.Pid }

// Reload sends SIGHUP, at which the daemon reads its certificates again.
func (d *Daemon) Reload() error { return d.signal(syscall.SIGHUP) }

// CertFile is the file of the daemon's certificate towards its peers.
func (d *Daemon) CertFile() string { return filepath.Join(d.fleet.dir, d.name+".pem") }

// Wait waits for the process's end and returns how it ended: nil is exit 0.
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

// end waits for the process that the fleet's context has killed.
func (d *Daemon) end() {
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	_ = d.Wait(ctx)
}
