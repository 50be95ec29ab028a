package crplatform

import (
	"context"
	"errors"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// Clock returns the time of the daemon's clock, which includes time in suspension.
type Clock func() crid.Instant

// Perform executes an effect of core/crconfig that calls the platform, and returns the
// event with its result. It reports false for any other effect. It blocks until the
// response or the timeout, so it should run in its own goroutine. A watch has its own
// timeout in the effect.
func Perform(ctx context.Context, port Port, now Clock, timeout time.Duration, effect crevent.Effect) (crevent.Event, bool) {
	switch e := effect.(type) {
	case crconfig.WatchPlatform:
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		head, err := port.Watch(ctx, e.After, e.Wait)
		return crconfig.WatchResult{Now: now(), Head: head, Fault: FaultOf(err)}, true
	case crconfig.ReadPlatform:
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		data, err := port.Value(ctx, e.Name, e.Digest)
		return crconfig.ReadResult{Now: now(), Digest: e.Digest, Data: data, Fault: FaultOf(err)}, true
	case crconfig.ReadList:
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		list, err := port.Instances(ctx)
		return crconfig.ListResult{Now: now(), List: list, Fault: FaultOf(err)}, true
	}
	return nil, false
}

// FaultOf returns the fault of core/crconfig for an error of a [Port].
func FaultOf(err error) crconfig.Fault {
	switch {
	case err == nil:
		return crconfig.FaultNone
	case errors.Is(err, ErrStale):
		return crconfig.FaultStale
	case errors.Is(err, ErrNotFound), errors.Is(err, ErrTooLarge):
		return crconfig.FaultMissing
	}
	return crconfig.FaultUnavailable
}
