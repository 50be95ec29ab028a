package crplatform

import (
	"context"
	"errors"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
)

// Clock reads the daemon's suspend-counting clock.
type Clock func() crid.Instant

// Perform carries out an effect of crconfig that calls the platform, and returns
// the event that answers it. It reports false for any other effect. It waits for
// the answer, for at most timeout or, for a watch, its own, so it belongs in a
// goroutine of its own.
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

// FaultOf turns an error of a Port into core's word for it.
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
