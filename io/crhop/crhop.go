// Package crhop is the protocol by which the entry of io/crentry forwards a request to
// the exit of io/crexit on another daemon, and its client. Each request has its own
// stream, so that responses cannot be mixed up or reordered.
//
// The entry sends a kind byte, a [Forward] and the chunks of the body with an end mark
// on the stream, and the exit sends a [Response] and its body. A [Revoke] has its own
// stream in the same session. The daemon of io/crmesh uses io/croffer instead.
//
// # Usage
//
//	ex, err := client.Forward(ctx, daemon, &crhop.Forward{...}, body, sent)
//	if ex.Response.Kind == crhop.KindResponse { io.Copy(w, ex.Body) }
package crhop

import (
	"errors"
	"time"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// The kinds of stream, sent as the first byte.
const (
	StreamForward byte = iota + 1
	StreamRevoke
)

// Stream error codes.
const (
	CodeCancelled = 1 // the sender abandoned the request
	CodeAborted   = 2 // the body was truncated at the sender's source
)

// Errors of a forward.
var (
	// ErrNotSent means that nothing of the forward was written.
	ErrNotSent = errors.New("forward not sent")
	// ErrLost means that the session or stream failed after the forward may
	// have been sent.
	ErrLost = errors.New("forward lost")
)

// Forward is the head of a forwarded request.
type Forward struct {
	Session crforward.SessionID `cbor:"x"`
	ID      crid.Request        `cbor:"i"`
	Service crid.Service        `cbor:"s"`
	Target  crid.Target         `cbor:"t"`
	Account crid.Account        `cbor:"a"`
	Class   crpolicy.Class      `cbor:"c"`
	Timeout time.Duration       `cbor:"l"` // remaining time until the deadline, when sent
	Method  string              `cbor:"m"`
	URI     string              `cbor:"u"`
	Host    string              `cbor:"h"`
	Header  map[string][]string `cbor:"d"`
	Length  int64               `cbor:"n"` // of the body, -1 when unknown
}

// Kind is the kind of a response.
type Kind uint8

// The kinds of response.
const (
	// KindResponse carries the upstream's response.
	KindResponse Kind = iota + 1
	// KindRefusal means that the exit refused the request; NotRun is set if
	// that proves that the request did not run.
	KindRefusal
	// KindFailure means that the request was started and got no valid response.
	KindFailure
)

// Fault is the cause of a failed or refused request.
type Fault uint8

// The causes of failures and refusals.
const (
	FaultUpstreamFailed Fault = iota + 1 // the connection failed, or the response was malformed
	FaultTimeout                         // the deadline passed
	FaultWrongResponse                   // the response belongs to another request
	FaultConnectFailed                   // the upstream accepted no connection; nothing ran
	FaultRequestBody                     // the request body was truncated; not a failure of the target
	FaultNotReady                        // the exit has no policy for the target yet; nothing ran
	FaultShed                            // the target gives only overload responses, so the exit refuses; nothing ran
)

// Response is the head of the exit's response.
type Response struct {
	Kind         Kind                `cbor:"k"`
	Status       int                 `cbor:"s"`
	Header       map[string][]string `cbor:"d"`
	Length       int64               `cbor:"n"` // of the body, -1 when unknown
	NotRun       bool                `cbor:"r"`
	Fault        Fault               `cbor:"f"`
	Reason       string              `cbor:"w"`
	RetryAfter   time.Duration       `cbor:"a"`
	InFlight     int64               `cbor:"l"` // requests at the target, as counted by the exit
	RenewSession bool                `cbor:"e"` // the entry should send its next forwards over a new session
}

// Revoke is a revocation: it queries whether a forward was started and, if not, prevents
// it from ever starting.
type Revoke struct {
	Session crforward.SessionID `cbor:"x"`
	ID      crid.Request        `cbor:"i"`
	Target  crid.Target         `cbor:"t"`
}

// RevokeResponse is the exit's response to a Revoke.
type RevokeResponse struct {
	Result crforward.RevokeResult `cbor:"v"`
}
