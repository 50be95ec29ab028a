package crsoak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"camphorroad/lab/crstage"
)

// process is a daemon's process over its restarts. Only processes that it started
// are ever signalled, by their ids.
type process struct {
	fleet   *fleet
	machine *machine
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	told    bool // to end: by SIGTERM or SIGKILL
}

func newProcess(f *fleet, m *machine) *process { return &process{fleet: f, machine: m} }

// start starts the daemon unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.log(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(p.fleet.ctx, p.fleet.binary, "join", "--config", p.machine.settings())
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, p.fleet.env
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start the daemon of machine %d: %w", p.machine.index, err), log.Close())
	}
	p.cmd, p.ended, p.told = cmd, make(chan struct{}), false
	go p.wait(cmd, log, p.ended)
	return nil
}

func (p *process) log() string {
	return filepath.Join(p.machine.dir, "m"+strconv.Itoa(p.machine.index)+".log")
}

// wait notes an end that nobody ordered, and one by SIGTERM that was no clean one.
func (p *process) wait(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	err := errors.Join(cmd.Wait(), log.Close())
	p.mu.Lock()
	told := p.told
	p.cmd = nil
	p.mu.Unlock()
	if !told && p.fleet.ctx.Err() == nil {
		p.fleet.mu.Lock()
		p.fleet.exits = append(p.fleet.exits, fmt.Sprintf("machine %d: the process ended by itself: %v", p.machine.index, err))
		p.fleet.mu.Unlock()
	}
	close(ended)
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.told = p.told || s == syscall.SIGKILL || s == syscall.SIGTERM
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() error {
	err := p.signal(syscall.SIGKILL)
	p.gone(time.Minute)
	return err
}

// stop tells the process to end, as the platform does; one that has not ended
// when the grace is over is killed. It reports whether it ended in time.
func (p *process) stop() (bool, error) {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	if p.gone(crstage.GraceTime) {
		return true, nil
	}
	return false, p.kill()
}

// gone waits until the process has ended.
func (p *process) gone(most time.Duration) bool {
	p.mu.Lock()
	ended, runs := p.ended, p.cmd != nil
	p.mu.Unlock()
	if !runs {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}
