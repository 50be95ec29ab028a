package crhop_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crhop"
)

// arrayForward is a Forward encoded as an array.
type arrayForward struct {
	_       struct{} `cbor:",toarray"`
	Session crforward.SessionID
	ID      crid.Request
	Service crid.Service
	Target  crid.Target
	Account crid.Account
	Class   crpolicy.Class
	Timeout time.Duration
	Method  string
	URI     string
	Host    string
	Header  map[string][]string
	Length  int64
}

// BenchmarkHead measures encoding and decoding of a forward's head as a map and as an
// array.
func BenchmarkHead(b *testing.B) {
	header := map[string][]string{
		"Accept": {"*/*"}, "Accept-Encoding": {"gzip"}, "User-Agent": {"survey/1.0"}, "Content-Type": {"application/json"},
	}
	f := crhop.Forward{
		Session: 1 << 60, Service: "booking", Target: "booking-1", Account: "survey", Class: crpolicy.ClassOnce,
		Timeout: time.Second, Method: "POST", URI: "/holds/1", Host: "booking.example", Header: header,
	}
	b.Run("named", func(b *testing.B) { roundTrip(b, f) })
	b.Run("array", func(b *testing.B) {
		roundTrip(b, arrayForward{
			Session: f.Session, Service: f.Service, Target: f.Target, Account: f.Account, Class: f.Class,
			Timeout: f.Timeout, Method: f.Method, URI: f.URI, Host: f.Host, Header: f.Header,
		})
	})
}

func roundTrip[T any](b *testing.B, v T) {
	b.ReportAllocs()
	size := 0
	for range b.N {
		data, err := cbor.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		var out T
		if err := cbor.Unmarshal(data, &out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
