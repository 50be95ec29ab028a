package crentry

import (
	"net/http"
	"net/textproto"
	"strings"
)

// ownName begins the headers by which the fleet speaks to callers and upstreams.
const ownName = "Camphorroad"

// hopByHop reports whether a header holds for one connection only. The name is
// in its canonical form.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// own reports whether a header speaks for the fleet. Upstreams that read headers
// as environment variables take an underscore for a dash.
func own(name string) bool {
	if len(name) <= len(ownName) || !strings.EqualFold(name[:len(ownName)], ownName) {
		return false
	}
	return name[len(ownName)] == '-' || name[len(ownName)] == '_'
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

// maxEncodings is how many percent-encodings of one another are looked behind.
const maxEncodings = 4

// secret reports whether a text carries the caller's key, or any key that was
// issued here: a caller may hold several and send one in the wrong place. It
// looks behind percent-encoding, and takes no notice of case, which header names
// and hosts lose on their way.
func secret(text, key string) bool {
	for range maxEncodings {
		if containsFold(text, KeyPrefix) || containsFold(text, key) {
			return true
		}
		plain := unescape(text)
		if plain == text {
			return false
		}
		text = plain
	}
	return true // nobody encodes that often but to hide something
}

func containsFold(text, part string) bool {
	if len(part) == 0 {
		return false
	}
	for i := 0; i+len(part) <= len(text); i++ {
		if lower(text[i]) == lower(part[0]) && strings.EqualFold(text[i:i+len(part)], part) {
			return true
		}
	}
	return false
}

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// unescape undoes one percent-encoding. It leaves bad escapes as they are: the
// library's decoder gives up at one, and a key beside it would go unseen.
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
	case lower(c) >= 'a' && lower(c) <= 'f':
		return lower(c) - 'a' + 10, true
	}
	return 0, false
}
