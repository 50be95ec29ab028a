package crdaemon

import (
	"runtime"
	"runtime/metrics"
)

// Names in runtime/metrics of the classes of memory of a process.
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

// runtimeBytes returns the memory that the runtime uses itself, such as spans,
// caches and the bitmaps of the garbage collector. It is the total without heap and
// stacks.
func runtimeBytes() int64 {
	n := runtimeMetric(classTotal)
	for _, name := range []string{classObjects, classUnused, classFree, classReleased, classStacks} {
		n -= runtimeMetric(name)
	}
	return n
}

// runtimeMetric returns the value of a runtime metric. Unlike runtime.ReadMemStats,
// it does not stop the process.
func runtimeMetric(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
