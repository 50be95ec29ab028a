// Package crclock reads the clock that decisions are made on: monotonic, never
// stepped, and counting while the machine is suspended.
//
// # Usage
//
//	now := crclock.Now()
package crclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"camphorroad/core/crid"
)

// Now reads the suspend-counting monotonic clock.
//
// Go's own monotonic reading stands still while a machine is suspended. A
// daemon that woke up would then believe its facts to be as fresh as when it
// fell asleep, and would act on a lease that others have long taken over; the
// boot-time clock makes the gap visible. It falls back to Go's clock where the
// kernel has none.
func Now() crid.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return crid.Instant(time.Since(processStart).Nanoseconds())
	}
	return crid.Instant(ts.Nano())
}

var processStart = time.Now()

// Sleep waits for a time, or until the context ends, and returns its error then.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
