package cregress

import (
	"net/http"

	"camphorroad/io/crlink"
)

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Expect", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripHopByHop removes the headers that apply to a single connection, and
// Content-Length, which is set again when the message is sent.
func StripHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range crlink.SplitList(list) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
