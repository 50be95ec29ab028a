package crdaemon

import (
	"runtime"
	"runtime/metrics"
)

// The runtime's own names for the classes of memory that make up a process.
const (
	classObjects  = "/memory/classes/heap/objects:bytes"
	classUnused   = "/memory/classes/heap/unused:bytes"
	classFree     = "/memory/classes/heap/free:bytes"
	classReleased = "/memory/classes/heap/released:bytes"
	classStacks   = "/memory/classes/heap/stacks:bytes"
	classTotal    = "/memory/classes/total:bytes"
)

func processGauges() []gauge {
	return []gauge{
		{"process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) }},
		{"process.heap.bytes", heapBytes},
		{"process.heap.idle.bytes", func() int64 { return runtimeMetric(classUnused) + runtimeMetric(classFree) }},
		{"process.stack.bytes", func() int64 { return runtimeMetric(classStacks) }},
		{"process.runtime.bytes", runtimeBytes},
		{"process.collections.total", func() int64 { return runtimeMetric("/gc/cycles/total:gc-cycles") }},
		{"process.allocations.total", allocations},
	}
}

func heapBytes() int64 { return runtimeMetric(classObjects) }

func allocations() int64 { return runtimeMetric("/gc/heap/allocs:objects") }

// runtimeBytes is what the runtime keeps for itself: spans, caches, the
// collector's bitmaps. It is what remains of the whole without heap and stacks.
func runtimeBytes() int64 {
	rest := runtimeMetric(classTotal)
	for _, name := range []string{classObjects, classUnused, classFree, classReleased, classStacks} {
		rest -= runtimeMetric(name)
	}
	return rest
}

// runtimeMetric reads one of the runtime's figures without stopping the process,
// as runtime.ReadMemStats would.
func runtimeMetric(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
