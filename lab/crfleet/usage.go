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

// clockTicks is the number of clock ticks in a second; /proc on Linux gives processor
// time in ticks.
const clockTicks = 100

// Usage is the resource usage of a daemon: totals from [Daemon.Usage], rates per second
// from [Fleet.MeanUsage].
type Usage struct {
	CPU      float64 // seconds, or seconds per second
	Sent     float64 // bytes of control messages, or bytes per second
	Received float64
	Memory   float64 // resident bytes
	Allocs   float64 // objects, or objects per second
}

// Usage returns the usage since the start of the process, from /proc and from the
// daemon's metrics.
func (d *Daemon) Usage(ctx context.Context) (Usage, error) {
	var u Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID()))
	if err != nil {
		return u, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID()))
	if err != nil {
		return u, err
	}
	metrics, err := d.fetchAdmin(ctx, "/metrics")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	u.CPU = (parseNumber(fields[11]) + parseNumber(fields[12])) / clockTicks
	u.Memory = 1024 * parseNumber(strings.Fields(valueOf(status, "VmRSS:"))[0])
	u.Sent = parseNumber(valueOf(metrics, "camphorroad_control_sent_bytes_total "))
	u.Received = parseNumber(valueOf(metrics, "camphorroad_control_received_bytes_total "))
	u.Allocs = parseNumber(valueOf(metrics, "camphorroad_process_allocations_total "))
	return u, nil
}

// valueOf returns the rest of the first line that starts with name, or "0" if there
// is none.
func valueOf(text []byte, name string) string {
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), name); ok {
			return strings.TrimSpace(rest)
		}
	}
	return "0"
}

func parseNumber(s string) float64 {
	n, _ := strconv.ParseFloat(s, 64)
	return n
}

// MeanUsage returns the usage per second over the given period, as the mean over the
// daemons. Memory is the value at the end of the period.
func (f *Fleet) MeanUsage(ctx context.Context, period time.Duration) (Usage, error) {
	before, err := f.totalUsage(ctx)
	if err != nil {
		return Usage{}, err
	}
	start := time.Now()
	time.Sleep(period)
	after, err := f.totalUsage(ctx)
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

func (f *Fleet) totalUsage(ctx context.Context) (Usage, error) {
	var sum Usage
	for _, d := range f.Daemons() {
		u, err := d.Usage(ctx)
		if err != nil {
			return sum, fmt.Errorf("usage of %s: %w", d.Name(), err)
		}
		sum.CPU += u.CPU
		sum.Sent += u.Sent
		sum.Received += u.Received
		sum.Memory += u.Memory
		sum.Allocs += u.Allocs
	}
	return sum, nil
}
