// Package crpolicy contains the validated form of what operators publish:
// services with their routes and limits, and client accounts with their rates and
// keys. [Snapshot] is one published configuration. io/crpolicyfile reads it from
// TOML files, core/crconfig distributes it, and the daemon of `camphorroad serve`
// looks up services and accounts in it. The daemon of `camphorroad join` uses the
// routing plan of core/crplan instead.
//
// # Usage
//
//	p, ok := snapshot.Service("booking")
//	acct, ok := snapshot.AccountByKey(crpolicy.HashKey(key))
package crpolicy

import (
	"crypto/sha256"
	"time"

	"camphorroad/core/crid"
)

// Class is how often a request of a route may run.
type Class uint8

// The classes of a route.
const (
	// ClassOnce marks a request that must run at most once.
	ClassOnce Class = iota + 1
	// ClassRepeat marks an idempotent request, which may be retried.
	ClassRepeat
)

// String returns the name of the class, as in settings and logs.
func (c Class) String() string {
	switch c {
	case ClassOnce:
		return "once"
	case ClassRepeat:
		return "repeat"
	}
	return "unknown"
}

// KeyHash is the SHA-256 of a client key; keys themselves are never published.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is published. Keys are random
// (256 bits from `key new`), so a plain hash cannot be reversed by search.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Route matches requests of a service.
type Route struct {
	Name    crid.Route    `cbor:"n"`
	Host    string        `cbor:"h"` // empty: any host
	Methods []string      `cbor:"m"` // empty: any method
	Prefix  string        `cbor:"p"` // path prefix, matched by whole segments
	Class   Class         `cbor:"c"`
	Timeout time.Duration `cbor:"t"` // from the request's arrival at the entry to the last byte of the response header
}

// Probe is a request with a known response, which detects a target that responds wrongly.
type Probe struct {
	Path     string        `cbor:"p"`
	Status   int           `cbor:"s"`
	Body     string        `cbor:"b"` // the exact response body expected
	Interval time.Duration `cbor:"e"`
}

// Service is one service's policy.
type Service struct {
	Name         crid.Service `cbor:"n"`
	Routes       []Route      `cbor:"r"`
	Floor        int          `cbor:"f"` // number of healthy targets that ejections must leave
	Slots        int          `cbor:"s"` // concurrent requests per target
	Queue        int          `cbor:"q"` // queued requests per target
	Connections  int          `cbor:"c"` // connections per target
	HealthPath   string       `cbor:"hp"`
	LoadPath     string       `cbor:"lp"`
	IdentityEcho string       `cbor:"ie"` // response header that must echo the request identity; empty: none
	Probe        Probe        `cbor:"pr"`
}

// Account is a client account with its fleet-wide limit.
type Account struct {
	Name  crid.Account `cbor:"n"`
	Rate  float64      `cbor:"r"` // requests a second over the whole fleet
	Burst float64      `cbor:"b"` // requests above the rate over the whole fleet
	Keys  []KeyHash    `cbor:"k"`
}
