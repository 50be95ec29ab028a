// Package crdialect names what the daemon needs to say and to hear in the headers
// of requests and answers, whatever the headers are called.
//
// A platform's adapter implements [Dialect]; entry and exit use it.
//
// # Usage
//
//	caller, err := dialect.Caller(r.Header)
//	dialect.Address(header, crdialect.Facts{Wait: left, Target: target})
//	if dialect.Answer(resp.StatusCode, resp.Header).NotRun { ... }
package crdialect

import (
	"net/http"
	"time"

	"camphorroad/core/crid"
)

// RequestInfo is what a caller says of its request.
type RequestInfo struct {
	ID   string        // of this request; empty: none was sent
	Timeout time.Duration // for which the caller waits; zero: not told
	Key  string        // empty: none was sent
}

// ForwardInfo are what a target is told of a request.
type ForwardInfo struct {
	Timeout    time.Duration // for which an answer is of use
	Target  crid.Target   // any other must refuse the request
	Account crid.Account  // empty: none
	CallingService    crid.Service  // of the instance where the request came in
}

// ResponseInfo is what a target says of its answer.
type ResponseInfo struct {
	ID     string // of the request that it answers
	Sealed bool   // it is the target's own
	NotRun bool   // the request was not run and never will be
}

// Dialect reads and writes the headers of one platform.
type Dialect interface {
	// ParseRequest reads what a caller said. The error tells what is ambiguous or cannot
	// be read; the request must not be served by a guess.
	ParseRequest(h http.Header) (RequestInfo, error)
	// PrepareForward writes what the target is told, and removes what a caller must
	// not tell it, its key among that.
	PrepareForward(h http.Header, f ForwardInfo)
	// ParseResponse reads what a target said.
	ParseResponse(status int, h http.Header) ResponseInfo
}
