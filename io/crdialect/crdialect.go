// Package crdialect defines the interface between the request path and the headers
// of a platform: which information requests and responses carry, independent of
// the names of the headers.
//
// The adapter of a platform, package platform, implements [Dialect]. io/cringress
// reads requests of callers with it, and io/cregress forwards requests to targets
// and reads their responses.
//
// # Usage
//
//	req, err := dialect.ParseRequest(r.Header)
//	dialect.PrepareForward(header, crdialect.ForwardInfo{Timeout: left, Target: target})
//	if dialect.ParseResponse(resp.StatusCode, resp.Header).NotRun { ... }
package crdialect

import (
	"net/http"
	"time"

	"camphorroad/core/crid"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID      string        // ID of the request; empty: none was sent
	Timeout time.Duration // time that the caller waits for the response; zero: not given
	Key     string        // client key; empty: none was sent
}

// ForwardInfo is the information sent to a target with a request.
type ForwardInfo struct {
	Timeout        time.Duration // time in which the response is still useful
	Target         crid.Target   // the intended target; any other target must refuse the request
	Account        crid.Account  // client account; empty: none
	CallingService crid.Service  // service of the instance that received the request from its caller
}

// ResponseInfo is the information in the headers of a target's response.
type ResponseInfo struct {
	ID        string        // ID of the request that the response belongs to
	Sealed    bool          // the response was produced by the target itself
	NotRun    bool          // the request was not executed and will not be
	Refusal   bool          // callers take its status for the statement that the request was not executed
	Warmup    time.Duration // time for which the target stays cold
	HasWarmup bool          // Warmup is known
	Limit     Limit
	Leaving   bool // the target is going to stop
}

// Limit is the number of requests a second that a target takes from all daemons together, by
// what its response says of it.
type Limit struct {
	Rate    float64 // zero: it names none
	Unknown bool    // the response does not tell
}

// Dialect reads and writes the headers of one platform.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request. It returns an error if a
	// header is ambiguous or malformed; such a request must be refused.
	ParseRequest(h http.Header) (RequestInfo, error)
	// PrepareForward writes the headers for the target, and removes headers that a
	// caller must not send to it, including the client key.
	PrepareForward(h http.Header, f ForwardInfo)
	// RequestID returns the ID that a request bears, or that a response bears of its request;
	// empty: none.
	RequestID(h http.Header) string
	// ParseResponse reads the headers of a target's response.
	ParseResponse(status int, h http.Header) ResponseInfo
}
