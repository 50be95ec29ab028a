// Package crplatform reads what the users' platform publishes: values and the
// list of instances, each under the platform's one growing revision.
//
// [Port] is what the rest of the daemon uses; [Client] is its adapter for the
// HTTP protocol of docs/operate/platform.md. The platform can only be read and
// watched, and it counts every call, so nothing here retries: who reads, and
// when again, is decided by core/crconfig.
//
// # Usage
//
//	port, err := crplatform.NewClient("http://127.0.0.1:7400")
//	head, err := port.Watch(ctx, lastHead.Rev, 30*time.Second)
//	data, err := port.Value(ctx, "manifest", head.Manifest)
//	list, err := port.Instances(ctx)
package crplatform

import (
	"context"
	"errors"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// Errors of every adapter; test with errors.Is.
var (
	// ErrUnavailable: the platform gave no usable answer in time.
	ErrUnavailable = errors.New("platform is away")
	// ErrNotFound: the platform does not hold what was asked for.
	ErrNotFound = errors.New("not found on the platform")
	// ErrTooLarge: the answer is over the platform's limit.
	ErrTooLarge = errors.New("platform answer is too large")
	// ErrStale: the platform answered from before what it had said earlier, or
	// with other bytes than the digest names.
	ErrStale = errors.New("platform is stale")
)

// ManifestName is the name of the value that names all others.
const ManifestName = "manifest"

// Port is the platform as the daemon uses it. All calls end with their context.
type Port interface {
	// Watch returns the platform's newest head once its revision is above
	// after, or the unchanged head when wait has passed. A head older than
	// after comes back together with ErrStale.
	Watch(ctx context.Context, after crid.Revision, wait time.Duration) (crconfig.Head, error)
	// Value returns the bytes of a named value that have the digest.
	Value(ctx context.Context, name string, digest crconfig.Digest) ([]byte, error)
	// Instances returns the newest list of instances.
	Instances(ctx context.Context) (crinstance.List, error)
}

// Page is one page of the list of instances on the wire.
type Page struct {
	Rev       crid.Revision         `json:"rev"`
	Instances []crinstance.Instance `json:"instances"`
	Next      crid.Daemon           `json:"next,omitempty"` // ask again after this one; empty: the end
}
