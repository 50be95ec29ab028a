package crentry

import (
	"net/http"
	"net/textproto"
	"strings"
)

// fleetHeaderPrefix is the prefix of the headers that daemons send to callers and upstreams.
const fleetHeaderPrefix = "Camphorroad"

// isHopByHop reports whether a header applies to one connection only. The name must be
// in canonical form.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// isFleetHeader reports whether a header has the prefix of the fleet's own headers. An
// underscore counts as a dash: upstreams that read headers as environment variables do not
// distinguish them.
func isFleetHeader(name string) bool {
	if len(name) <= len(fleetHeaderPrefix) || !strings.EqualFold(name[:len(fleetHeaderPrefix)], fleetHeaderPrefix) {
		return false
	}
	return name[len(fleetHeaderPrefix)] == '-' || name[len(fleetHeaderPrefix)] == '_'
}

// connectionHeaders returns the names that the Connection header lists.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// maxDecodePasses is how many nested percent-encodings are decoded.
const maxDecodePasses = 4

// containsKey reports whether a text contains the caller's key or any other issued key: a
// caller may hold several and send one in the wrong place. It decodes nested
// percent-encoding and ignores case, because header names and hosts do not preserve
// case.
func containsKey(text, key string) bool {
	for range maxDecodePasses {
		if containsFold(text, KeyPrefix) || containsFold(text, key) {
			return true
		}
		decoded := unescape(text)
		if decoded == text {
			return false
		}
		text = decoded
	}
	return true // so many encodings are taken for an attempt to hide a key
}

func containsFold(text, part string) bool {
	if len(part) == 0 {
		return false
	}
	for i := 0; i+len(part) <= len(text); i++ {
		if toLower(text[i]) == toLower(part[0]) && strings.EqualFold(text[i:i+len(part)], part) {
			return true
		}
	}
	return false
}

func toLower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// unescape decodes one level of percent-encoding. It keeps invalid escapes as they
// are: the decoder of net/url fails on one, and a key next to it would be missed.
func unescape(text string) string {
	if !strings.Contains(text, "%") {
		return text
	}
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			hi, hiOK := hexDigit(text[i+1])
			lo, loOK := hexDigit(text[i+2])
			if hiOK && loOK {
				out = append(out, hi<<4|lo)
				i += 2
				continue
			}
		}
		out = append(out, text[i])
	}
	return string(out)
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case toLower(c) >= 'a' && toLower(c) <= 'f':
		return toLower(c) - 'a' + 10, true
	}
	return 0, false
}
