package crfleet

import (
	"context"
	"fmt"
	"os"
	"strings"

	"camphorroad/core/crid"
)

// Memory is the memory usage of a daemon, in bytes.
type Memory struct {
	Resident float64 `json:"resident"` // all pages in memory
	Peak     float64 `json:"peak"`     // maximum of Resident since the process start
	Mapped   float64 `json:"mapped"`   // resident pages of the program and its libraries, shared by all processes of it
	Heap     float64 `json:"heap"`     // objects, including dead ones that are not yet swept
	Idle     float64 `json:"idle"`     // heap without objects, not returned to the system
	Stacks   float64 `json:"stacks"`
	Runtime  float64 `json:"runtime"` // data structures of the Go runtime

	Collections float64       `json:"collections"` // garbage collections since the process start
	Revision    crid.Revision `json:"revision"`    // of the applied configuration
}

// Memory reads the memory usage from /proc and from the daemon's metrics.
func (d *Daemon) Memory(ctx context.Context) (Memory, error) {
	var m Memory
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID()))
	if err != nil {
		return m, err
	}
	metrics, err := d.fetchAdmin(ctx, "/metrics")
	if err != nil {
		return m, err
	}
	procBytes := func(name string) float64 { return 1024 * parseNumber(strings.TrimSuffix(valueOf(status, name), " kB")) }
	metric := func(name string) float64 { return parseNumber(valueOf(metrics, "camphorroad_"+name+" ")) }
	return Memory{
		Resident:    procBytes("VmRSS:"),
		Peak:        procBytes("VmHWM:"),
		Mapped:      procBytes("RssFile:"),
		Heap:        metric("process_heap_bytes"),
		Idle:        metric("process_heap_idle_bytes"),
		Stacks:      metric("process_stack_bytes"),
		Runtime:     metric("process_runtime_bytes"),
		Collections: metric("process_collections_total"),
		Revision:    crid.Revision(metric("revision")),
	}, nil
}
