// Package crhop is the protocol of one hop: what an entry daemon sends an exit
// daemon for a request, and what it gets back. A request has a stream of its
// own, so that answers can neither mix nor overtake one another.
//
// On the stream go a kind byte, a [Forward] and the body's chunks with an end
// mark one way; an [Response] and its body the other way. A [Revoke] has a stream
// of its own in the same session.
//
// # Usage
//
//	ex, err := hop.Forward(ctx, target, &crhop.Forward{...}, body)
//	if ex.Answer.Kind == crhop.KindAnswer { io.Copy(w, ex.Body) }
package crhop

import (
	"errors"
	"time"

	"camphorroad/core/crforward"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// The kinds of stream, sent as its first byte.
const (
	StreamForward byte = iota + 1
	StreamRevoke
)

// Stream error codes.
const (
	CodeCancelled = 1 // the sender has given up
	CodeAborted   = 2 // the body broke off at the sender's source
)

// Errors of the hop.
var (
	// ErrNotSent tells that nothing of the forward was written.
	ErrNotSent = errors.New("forward not sent")
	// ErrLost tells that the session or stream failed after the forward may
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
	Timeout time.Duration       `cbor:"l"` // until the deadline, when sent
	Method  string              `cbor:"m"`
	URI     string              `cbor:"u"`
	Host    string              `cbor:"h"`
	Header  map[string][]string `cbor:"d"`
	Length  int64               `cbor:"n"` // of the body, -1 when unknown
}

// Kind says what an answer is.
type Kind uint8

// The kinds of answer.
const (
	// KindResponse carries the upstream's answer.
	KindResponse Kind = iota + 1
	// KindRefusal says that the exit did not run the request; NotRun says
	// whether that is proved.
	KindRefusal
	// KindFailure says that the request was started and no good answer came.
	KindFailure
)

// Fault says how a started request failed.
type Fault uint8

// The faults of a started request.
const (
	FaultUpstreamFailed Fault = iota + 1 // the connection failed
	FaultTimeout                         // the deadline passed
	FaultWrong                           // the answer was another request's
	FaultConnectFailed                   // the upstream took no connection; nothing ran
	FaultRequestBody                     // the request's own body broke off; no evidence against the target
	FaultNotReady                        // the exit has no policy for the target yet; nothing ran
	FaultShed                            // the target only sheds, and the exit holds work off it; nothing ran
)

// Response is the head of what the exit answers.
type Response struct {
	Kind         Kind                `cbor:"k"`
	Status       int                 `cbor:"s"`
	Header       map[string][]string `cbor:"d"`
	Length       int64               `cbor:"n"` // of the body, -1 when unknown
	NotRun       bool                `cbor:"r"`
	Fault        Fault               `cbor:"f"`
	Reason       string              `cbor:"w"`
	RetryAfter   time.Duration       `cbor:"a"`
	InFlight     int64               `cbor:"l"` // requests at the target, the exit's count
	RenewSession bool                `cbor:"e"` // the next forwards need a new session
}

// Revoke asks whether a forward was started, and that it never be if not.
type Revoke struct {
	Session crforward.SessionID `cbor:"x"`
	ID      crid.Request        `cbor:"i"`
	Target  crid.Target         `cbor:"t"`
}

// RevokeResponse answers a Revoke.
type RevokeResponse struct {
	Result crforward.RevokeResult `cbor:"v"`
}
