// Package crplatform reads what the users' platform publishes over HTTP: policy values
// and the list of instances. Both share one increasing revision.
//
// io/crdaemon uses [Port]; [Client] implements it for the HTTP protocol of
// docs/operate/platform.md. The platform can only be read and watched, and it counts
// every call, so this package does not retry: core/crconfig decides which daemons read
// and when, and [Perform] executes its effects.
//
// Package platform is another adapter: it decodes the headers, records and
// configuration in the platform's key-value store for io/crmesh. Package
// lab/crplatform is the simulated platform of the tests.
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

// Errors of all implementations of [Port], for errors.Is.
var (
	// ErrUnavailable means that no valid response was received in time.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrNotFound means that the platform does not have the requested value.
	ErrNotFound = errors.New("not found on the platform")
	// ErrTooLarge means that a response exceeds the platform's size limit.
	ErrTooLarge = errors.New("platform response is too large")
	// ErrStale means that the platform returned an older revision than before, or
	// bytes that do not match the digest.
	ErrStale = errors.New("platform is stale")
)

// ManifestName is the name of the value that lists all others.
const ManifestName = "manifest"

// Port reads and watches the platform. All calls return when their context ends.
type Port interface {
	// Watch returns the platform's newest head as soon as its revision is above
	// after, or the unchanged head when wait is over. A head older than after is
	// returned together with ErrStale.
	Watch(ctx context.Context, after crid.Revision, wait time.Duration) (crconfig.Head, error)
	// Value returns the bytes of a named value, or ErrStale if they do not match the
	// digest.
	Value(ctx context.Context, name string, digest crconfig.Digest) ([]byte, error)
	// Instances returns the newest list of instances.
	Instances(ctx context.Context) (crinstance.List, error)
}

// Page is one page of the list of instances on the wire.
type Page struct {
	Rev       crid.Revision         `json:"rev"`
	Instances []crinstance.Instance `json:"instances"`
	Next      crid.Daemon           `json:"next,omitempty"` // the next page begins after this daemon; empty: this is the last page
}
