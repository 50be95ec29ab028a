package crfleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks a second is the unit of processor time in /proc on Linux.
const clockTicks = 100

// Usage is what a daemon uses.
type Usage struct {
	CPU      float64 // seconds, or their part of a second
	Sent     float64 // bytes of control messages, or a second
	Received float64
	Memory   float64 // resident bytes
	Allocs   float64 // objects, or a second
}

// Usage is what the process has used so far, by the system's and its own word.
func (d *Daemon) Usage(ctx context.Context) (Usage, error) {
	var c Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID()))
	if err != nil {
		return c, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID()))
	if err != nil {
		return c, err
	}
	metrics, err := d.fetchAdmin(ctx, "/metrics")
	if err != nil {
		return c, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	c.CPU = (number(fields[11]) + number(fields[12])) / clockTicks
	c.Memory = 1024 * number(strings.Fields(valueOf(status, "VmRSS:"))[0])
	c.Sent = number(valueOf(metrics, "camphorroad_control_sent_bytes_total "))
	c.Received = number(valueOf(metrics, "camphorroad_control_received_bytes_total "))
	c.Allocs = number(valueOf(metrics, "camphorroad_process_allocations_total "))
	return c, nil
}

// valueOf returns what follows a name at the start of a line; "0" if none does.
func valueOf(text []byte, name string) string {
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), name); ok {
			return strings.TrimSpace(rest)
		}
	}
	return "0"
}

func number(s string) float64 {
	n, _ := strconv.ParseFloat(s, 64)
	return n
}

// MeanUsage is the mean over the daemons of what one uses in a second, watched
// for the given time; Memory is that at its end.
func (f *Fleet) MeanUsage(ctx context.Context, watched time.Duration) (Usage, error) {
	before, err := f.sumCost(ctx)
	if err != nil {
		return Usage{}, err
	}
	start := time.Now()
	time.Sleep(watched)
	after, err := f.sumCost(ctx)
	if err != nil {
		return Usage{}, err
	}
	n := float64(len(f.Daemons()))
	seconds := n * time.Since(start).Seconds()
	return Usage{
		CPU:      (after.CPU - before.CPU) / seconds,
		Sent:     (after.Sent - before.Sent) / seconds,
		Received: (after.Received - before.Received) / seconds,
		Memory:   after.Memory / n,
		Allocs:   (after.Allocs - before.Allocs) / seconds,
	}, nil
}

func (f *Fleet) sumCost(ctx context.Context) (Usage, error) {
	var sum Usage
	for _, d := range f.Daemons() {
		c, err := d.Usage(ctx)
		if err != nil {
			return sum, fmt.Errorf("cost of %s: %w", d.Name(), err)
		}
		sum.CPU += c.CPU
		sum.Sent += c.Sent
		sum.Received += c.Received
		sum.Memory += c.Memory
		sum.Allocs += c.Allocs
	}
	return sum, nil
}
