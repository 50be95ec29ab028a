package stand

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB      = 284
	uploadTargets = 2
)

// rss returns the resident memory of a process in MB.
func rss(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return kb / 1024
		}
	}
	return 0
}

// enforce ends the daemon, as the platform does, when it exceeds its memory, and starts it again.
func (m *machine) enforce(done <-chan struct{}, limitMB int) {
	most := 0
	for {
		select {
		case <-done:
			m.fleet.record.add("%s used up to %d MB, ended %d times for its memory", m.name, most, m.ends)
			return
		case <-time.After(5 * time.Millisecond):
		}
		m.mu.Lock()
		cmd, stopped := m.cmd, m.stopped
		m.mu.Unlock()
		mb := rss(cmd.Process.Pid)
		most = max(most, mb)
		if mb <= limitMB {
			continue
		}
		m.fleet.record.add("%s uses %d MB of %d: the platform ends it", m.name, mb, limitMB)
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-stopped
		m.ends++
		time.Sleep(restartDelay)
		_ = m.start()
	}
}

const (
	uploadMachines = 12
	uploadBytes    = 15_000_000
	usualUploads   = 12 // at once
	uploadPause    = 2500 * time.Millisecond
	burstTimes     = 2.5
	bursts         = 7 // of 5 s, with as much time between them
	maxEnds        = 3 // of the processes of two machines
)

// runMemory sends uploads from ten machines to the two targets of a service. Bursts of users come.
func runMemory(root string, trouble bool) (*fleet, outcome, error) {
	f, err := newFleet(root, uploadMachines, func(i int) targetOptions {
		o := targetOptions{service: service, slots: 5, work: 990 * time.Millisecond}
		if i >= uploadTargets {
			o.service = "wuno96b"
		}
		return o
	})
	if err != nil {
		return nil, outcome{}, err
	}
	c := config(0, 0, nil)
	route := c["virtual-hosts"].([]any)[0].(map[string]any)["path-routes"].([]any)[0].(map[string]any)
	route["kind"], route["timeout-ms"], route["objective-latency-ms"] = "upload", 20000, 8000
	f.configure(c)
	if err := f.startAll(bounds, memoryMB); err != nil {
		return f, outcome{}, err
	}
	done := make(chan struct{})
	var watchers, wg sync.WaitGroup
	for _, m := range f.machines {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			m.enforce(done, memoryMB)
		}()
	}
	for range bursts {
		f.upload(&wg, usualUploads)
		f.upload(&wg, usualUploads)
		n := usualUploads
		if trouble {
			n = int(burstTimes * usualUploads)
			f.record.add("%g times the usual users come", burstTimes)
		}
		f.upload(&wg, n)
		f.upload(&wg, n)
	}
	wg.Wait()
	close(done)
	watchers.Wait()
	return f, f.checkEnds(), nil
}

// upload sends uploads at once, from the machines without a target of the service.
func (f *fleet) upload(wg *sync.WaitGroup, n int) {
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := hold()
			c.deadline, c.body = 25*time.Second, make([]byte, uploadBytes)
			f.machines[uploadTargets+i%(len(f.machines)-uploadTargets)].send(c)
		}()
	}
	time.Sleep(uploadPause)
}

// checkEnds applies the rule Fault.
func (f *fleet) checkEnds() outcome {
	counts := make(map[int]int)
	for _, q := range f.record.requests() {
		counts[q.status]++
	}
	often, ends := 0, make(map[string]int)
	for _, m := range f.machines {
		if m.ends > 0 {
			ends[m.name] = m.ends
		}
		if m.ends >= maxEnds {
			often++
		}
	}
	return outcome{
		broken: often >= max(2, (len(f.machines)+9)/10),
		seen:   fmt.Sprintf("answers by status (0: none): %v; ends of processes over %d MB: %v", counts, memoryMB, ends),
	}
}
