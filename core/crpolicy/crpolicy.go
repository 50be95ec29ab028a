// Package crpolicy describes what operators publish: services with their routes
// and targets' limits, and client accounts with their rates and keys. It is the
// validated form; reading the TOML files is io/crpolicyfile's work.
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

// Class says how often a request of a route may run.
type Class uint8

// The classes of a route.
const (
	// ClassOnce marks a request that must run at most once.
	ClassOnce Class = iota + 1
	// ClassRepeat marks an idempotent request, which may be retried.
	ClassRepeat
)

// String names the class in logs.
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
// (256 bits from `key new`), so a plain hash can not be searched backwards.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Route matches requests of a service.
type Route struct {
	Name    crid.Route    `cbor:"n"`
	Host    string        `cbor:"h"` // empty: any host
	Methods []string      `cbor:"m"` // empty: any method
	Prefix  string        `cbor:"p"` // path prefix, on segment borders
	Class   Class         `cbor:"c"`
	Timeout time.Duration `cbor:"t"` // the whole request, from entry to last byte of the answer's head
}

// Probe is a known-answer request that tells a wrong target from a right one.
type Probe struct {
	Path     string        `cbor:"p"`
	Status   int           `cbor:"s"`
	Body     string        `cbor:"b"` // the exact answer expected
	Interval time.Duration `cbor:"e"`
}

// Service is one service's policy.
type Service struct {
	Name         crid.Service `cbor:"n"`
	Routes       []Route      `cbor:"r"`
	Floor        int          `cbor:"f"` // healthy targets below which ejecting must not push
	Slots        int          `cbor:"s"` // concurrent requests per target
	Queue        int          `cbor:"q"` // waiting requests per target
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
