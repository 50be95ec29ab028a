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

// process manages the daemon process of a machine across restarts. Signals are sent
// only to processes that it started, by process ID.
type process struct {
	fleet         *fleet
	machine       *machine
	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	stopRequested bool // by SIGTERM or SIGKILL
}

func newProcess(f *fleet, m *machine) *process { return &process{fleet: f, machine: m} }

// start starts the daemon unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	logOutput, err := os.OpenFile(p.logFile(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(p.fleet.ctx, p.fleet.binary, "join", "--config", p.machine.settingsFile())
	cmd.Stdout, cmd.Stderr, cmd.Env = logOutput, logOutput, p.fleet.env
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start the daemon of machine %d: %w", p.machine.index, err), logOutput.Close())
	}
	p.cmd, p.exited, p.stopRequested = cmd, make(chan struct{}), false
	go p.wait(cmd, logOutput, p.exited)
	return nil
}

func (p *process) logFile() string {
	return filepath.Join(p.machine.dir, "m"+strconv.Itoa(p.machine.index)+".log")
}

// wait waits for the process to exit and records an exit that was not requested.
func (p *process) wait(cmd *exec.Cmd, logOutput *os.File, exited chan struct{}) {
	err := errors.Join(cmd.Wait(), logOutput.Close())
	p.mu.Lock()
	stopRequested := p.stopRequested
	p.cmd = nil
	p.mu.Unlock()
	if !stopRequested && p.fleet.ctx.Err() == nil {
		p.fleet.mu.Lock()
		p.fleet.unexpectedExits = append(p.fleet.unexpectedExits, fmt.Sprintf("machine %d: the process exited without being stopped: %v", p.machine.index, err))
		p.fleet.mu.Unlock()
	}
	close(exited)
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.stopRequested = p.stopRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() error {
	err := p.signal(syscall.SIGKILL)
	p.waitExit(time.Minute)
	return err
}

// stop sends SIGTERM, as the platform does, and kills the process if it has not exited
// after crstage.GraceTime. It reports whether the process exited in time.
func (p *process) stop() (bool, error) {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	if p.waitExit(crstage.GraceTime) {
		return true, nil
	}
	return false, p.kill()
}

// waitExit waits until the process has exited and reports whether it did so within
// the timeout.
func (p *process) waitExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
