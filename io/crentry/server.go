package crentry

import (
	"io"
	"log"
	"net/http"
	"time"
)

// ServerOptions limit the resources of a caller's connection.
type ServerOptions struct {
	MaxHeaderBytes    int           // size of a request's head
	ReadHeaderTimeout time.Duration // for the whole head of a request
}

const keepAliveTimeout = 2 * time.Minute // for a keep-alive connection without a request

// NewServer returns the server for callers. It serves HTTP/1.1 and HTTP/2, the latter
// also in clear text with prior knowledge.
func NewServer(h http.Handler, opts ServerOptions) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: opts.ReadHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    opts.MaxHeaderBytes,
		// Malformed bytes of callers, which net/http logs here, may contain a key.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}
