package crroute

import (
	"fmt"
	"strings"
)

// PathFault is the reason why a path is rejected.
type PathFault uint8

// The reasons for which a path is rejected.
const (
	PathRelative     PathFault = iota + 1 // does not start with a slash
	PathDotSegment                        // has a segment "." or ".."
	PathEmptySegment                      // has an empty segment before its end
	PathEncoded                           // encodes a slash, a backslash, a semicolon, a letter, a digit, "-", ".", "_" or "~"
	PathMalformed                         // has a percent sign without two hexadecimal digits, or is encoded twice
	PathForbidden                         // has a backslash, a semicolon, "?", "#", a space or a control character
)

// String returns a short description.
func (f PathFault) String() string {
	switch f {
	case PathRelative:
		return "does not start with a slash"
	case PathDotSegment:
		return "has a dot segment"
	case PathEmptySegment:
		return "has an empty segment"
	case PathEncoded:
		return "encodes a character that must stand plain"
	case PathMalformed:
		return "has a malformed percent-encoding"
	case PathForbidden:
		return "has a forbidden character"
	default:
		return "is unknown"
	}
}

// PathError is the error of a path that an upstream could interpret in another
// way than the route table. The request must be refused; it was not run.
type PathError struct {
	fault PathFault
	at    int // offset in bytes
}

// Error implements error. It omits the path, which the caller controls.
func (e *PathError) Error() string {
	return fmt.Sprintf("ambiguous path: %s at byte %d", e.fault, e.at)
}

// Fault returns the reason for the rejection.
func (e *PathError) Fault() PathFault { return e.fault }

// CheckPath rejects a path that an upstream could resolve to another resource
// than the one matched here. It takes the path as it will be forwarded, which
// is the escaped form without the query, and returns a *PathError.
//
// Upstreams differ in how they treat "/a/../b", "/a//b", "/%61" or "/a;x/b". A
// caller could match a route with class repeat, or another service's policy, and
// run a request that a stricter route protects. No daemon would detect it, so
// only the one spelling that all upstreams agree on is accepted.
func CheckPath(path string) error {
	if path == "" || path[0] != '/' {
		return &PathError{fault: PathRelative}
	}
	start := 1
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if fault := checkByte(path, i); fault != 0 {
				return &PathError{fault: fault, at: i}
			}
			continue
		}
		if fault := checkSegment(path[start:i], i == len(path)); fault != 0 {
			return &PathError{fault: fault, at: start}
		}
		start = i + 1
	}
	return nil
}

func checkSegment(segment string, last bool) PathFault {
	switch segment {
	case ".", "..":
		return PathDotSegment
	case "":
		if !last {
			return PathEmptySegment
		}
	}
	return 0
}

func checkByte(path string, i int) PathFault {
	c := path[i]
	switch {
	case c == '%':
		return checkEscape(path[i+1:])
	case c <= ' ' || c == 0x7f:
		return PathForbidden
	case c == '\\' || c == ';' || c == '?' || c == '#':
		return PathForbidden
	}
	return 0
}

// checkEscape checks what follows a percent sign.
func checkEscape(rest string) PathFault {
	c, ok := unhex(rest)
	if !ok {
		return PathMalformed
	}
	switch {
	case isUnreserved(c) || c == '/' || c == '\\' || c == ';':
		return PathEncoded
	case c < ' ' || c == 0x7f:
		return PathForbidden
	case c == '%':
		if _, twice := unhex(rest[2:]); twice {
			return PathMalformed
		}
	}
	return 0
}

func unhex(s string) (byte, bool) {
	if len(s) < 2 {
		return 0, false
	}
	hi, okHi := hexDigit(s[0])
	lo, okLo := hexDigit(s[1])
	return hi<<4 | lo, okHi && okLo
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func isUnreserved(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("-._~", c) >= 0
}

// CheckPrefix rejects a route's prefix that requests could spell in more than
// one way: it may contain only slashes and unreserved characters (letters,
// digits, "-", ".", "_", "~"), and no dot segment. It returns a *PathError.
func CheckPrefix(prefix string) error {
	if err := CheckPath(prefix); err != nil {
		return err
	}
	for i := range len(prefix) {
		if prefix[i] != '/' && !isUnreserved(prefix[i]) {
			return &PathError{fault: PathForbidden, at: i}
		}
	}
	return nil
}
