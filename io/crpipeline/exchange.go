package crpipeline

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// exchange is a request and its response, which is buffered. It is the response writer of the request.
type exchange struct {
	request *http.Request
	header  http.Header
	status  int // zero: none written
	body    []byte
	done    bool // the handler has returned; guarded by the loop
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 && status >= http.StatusOK {
		e.status = status
	}
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if !bodyAllowed(e.status) {
		return 0, http.ErrBodyNotAllowed
	}
	e.body = append(e.body, p...)
	return len(p), nil
}

// errIncomplete ends a connection, as net/http does, if a body does not have the length that the handler has
// declared.
var errIncomplete = errors.New("the body does not have its declared length")

// closes reports whether the response closes the connection.
func (e *exchange) closes() bool {
	return httpguts.HeaderValuesContainsToken(e.header["Connection"], "close")
}

// send writes the response. Its framing is that of net/http for a response whose length is known.
func (e *exchange) send(c net.Conn, closes bool) error {
	h := e.header
	length := h.Get("Content-Length")
	isHead := e.request.Method == http.MethodHead
	if length != "" && !isHead && bodyAllowed(e.status) && length != strconv.Itoa(len(e.body)) {
		return errIncomplete
	}
	for _, name := range []string{"Connection", "Content-Length", "Transfer-Encoding", "Trailer"} {
		h.Del(name)
	}
	if e.status == http.StatusNotModified {
		h.Del("Content-Type") // as net/http does
	}
	if closes {
		h.Set("Connection", "close")
	}
	if _, ok := h["Date"]; !ok {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if _, ok := h["Content-Type"]; !ok && len(e.body) > 0 && h.Get("Content-Encoding") == "" {
		h.Set("Content-Type", http.DetectContentType(e.body))
	}
	if length == "" && (!isHead || len(e.body) > 0) {
		length = strconv.Itoa(len(e.body))
	}
	if length != "" && bodyAllowed(e.status) {
		h.Set("Content-Length", length)
	}
	text := http.StatusText(e.status)
	if text == "" {
		text = "status code " + strconv.Itoa(e.status)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %03d %s\r\n", e.status, text)
	_ = h.Write(&head) // a bytes.Buffer does not fail
	head.WriteString("\r\n")
	out := net.Buffers{head.Bytes()}
	if !isHead {
		out = append(out, e.body)
	}
	_, err := out.WriteTo(c)
	return err //nolint:wrapcheck // only whether it fails matters
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// parse parses the head of a request. It reports false if net/http rejects it or reads it
// differently, or if it is of a form that is not run concurrently.
func parse(head []byte) (*http.Request, bool) {
	src := bytes.NewReader(head)
	br := bufio.NewReaderSize(src, len(head))
	r, err := http.ReadRequest(br)
	if err != nil || br.Buffered()+src.Len() > 0 {
		return nil, false
	}
	// http.Server makes these checks after it has parsed a request. ReadRequest removes the Host header, but
	// the host is taken from it if the URI has none.
	if !strings.HasPrefix(r.RequestURI, "/") || r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return nil, false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return nil, false
			}
		}
	}
	return r, true
}
