package crconfig

import (
	"time"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// Fault is the outcome of a call to the platform.
type Fault uint8

// The outcomes of a call.
const (
	// FaultNone means that the call succeeded.
	FaultNone Fault = iota
	// FaultUnavailable means that no usable response arrived in time.
	FaultUnavailable
	// FaultStale means that the response is older than an earlier one.
	FaultStale
	// FaultMissing means that the platform does not have the value, or that the value is too large.
	FaultMissing
)

// ManifestName is the name under which the platform stores the manifest.
const ManifestName = "manifest"

// WatchPlatform makes the I/O layer wait for a head newer than After. A zero Wait
// is a plain read. Timeout bounds the whole call.
type WatchPlatform struct {
	After   crid.Revision
	Wait    time.Duration
	Timeout time.Duration
}

// EffectName implements crevent.Effect.
func (WatchPlatform) EffectName() string { return "watchplatform" }

// WatchResult answers WatchPlatform.
type WatchResult struct {
	Now   crid.Instant
	Head  Head
	Fault Fault
}

// At implements crevent.Event.
func (e WatchResult) At() crid.Instant { return e.Now }

// ReadPlatform makes the I/O layer read a value.
type ReadPlatform struct {
	Name   string
	Digest Digest
}

// EffectName implements crevent.Effect.
func (ReadPlatform) EffectName() string { return "readplatform" }

// ReadResult answers ReadPlatform.
type ReadResult struct {
	Now    crid.Instant
	Digest Digest
	Data   []byte // must not be modified
	Fault  Fault
}

// At implements crevent.Event.
func (e ReadResult) At() crid.Instant { return e.Now }

// ReadList makes the I/O layer read the platform's list of instances.
type ReadList struct{}

// EffectName implements crevent.Effect.
func (ReadList) EffectName() string { return "readlist" }

// ListResult answers ReadList.
type ListResult struct {
	Now   crid.Instant
	List  crinstance.List
	Fault Fault
}

// At implements crevent.Event.
func (e ListResult) At() crid.Instant { return e.Now }
