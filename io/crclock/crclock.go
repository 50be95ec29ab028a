// Package crclock provides the clock for leases, timeouts and expiry: monotonic,
// never stepped, and advancing while the machine is suspended. Both kinds of
// daemon, io/crdaemon and io/crmesh, use it.
//
// # Usage
//
//	now := crclock.Now()
//	err := crclock.Sleep(ctx, time.Second)
package crclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"camphorroad/core/crid"
)

// Now returns the time of the boot-time clock (CLOCK_BOOTTIME).
//
// Go's monotonic clock stops while the machine is suspended. With it, a resumed
// daemon would treat an expired lease as valid and act on it although another
// daemon has taken it over. The boot-time clock includes the suspension. Now falls
// back to Go's monotonic clock if the kernel has no boot-time clock.
func Now() crid.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return crid.Instant(time.Since(processStart).Nanoseconds())
	}
	return crid.Instant(ts.Nano())
}

var processStart = time.Now()

// Sleep waits for d. If ctx ends first, it returns the error of ctx.
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
