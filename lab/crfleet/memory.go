package crfleet

import (
	"context"
	"fmt"
	"os"
	"strings"

	"camphorroad/core/crid"
)

// Memory is where a daemon's memory stands, in bytes.
type Memory struct {
	Resident float64 `json:"resident"` // all pages in memory
	Peak     float64 `json:"peak"`     // the most that were resident since the process's start
	Mapped   float64 `json:"mapped"`   // resident pages of the program and its libraries, shared by all processes of it
	Heap     float64 `json:"heap"`     // objects, dead ones that are not yet swept included
	Idle     float64 `json:"idle"`     // heap without objects, not given back
	Stacks   float64 `json:"stacks"`
	Runtime  float64 `json:"runtime"` // the runtime's own tables

	Collections float64       `json:"collections"` // since the process's start
	Revision    crid.Revision `json:"revision"`    // of the configuration in force
}

// Memory reads the system's and the runtime's word of the process.
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
	ofSystem := func(name string) float64 { return 1024 * number(strings.TrimSuffix(valueOf(status, name), " kB")) }
	ofDaemon := func(name string) float64 { return number(valueOf(metrics, "camphorroad_"+name+" ")) }
	return Memory{
		Resident:    ofSystem("VmRSS:"),
		Peak:        ofSystem("VmHWM:"),
		Mapped:      ofSystem("RssFile:"),
		Heap:        ofDaemon("process_heap_bytes"),
		Idle:        ofDaemon("process_heap_idle_bytes"),
		Stacks:      ofDaemon("process_stack_bytes"),
		Runtime:     ofDaemon("process_runtime_bytes"),
		Collections: ofDaemon("process_collections_total"),
		Revision:    crid.Revision(ofDaemon("revision")),
	}, nil
}
