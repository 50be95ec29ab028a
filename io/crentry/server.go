package crentry

import (
	"io"
	"log"
	"net/http"
	"time"
)

// ServerOptions bound what a caller's connection may take.
type ServerOptions struct {
	MaxHeaderBytes    int           // of a request's head
	ReadHeaderTimeout time.Duration // in which a request's head must be whole
}

const callerIdle = 2 * time.Minute // a kept connection without a request

// NewServer returns the server towards callers. It takes HTTP/1.1 and HTTP/2,
// the latter also in clear text with prior knowledge.
func NewServer(h http.Handler, opts ServerOptions) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: opts.ReadHeaderTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    opts.MaxHeaderBytes,
		// net/http reports callers' bad bytes here, which may hold a key.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}
