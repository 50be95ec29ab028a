package crroute

import (
	"fmt"
	"strings"
)

// PathFault says why a path is refused.
type PathFault uint8

// The faults of a path.
const (
	PathRelative     PathFault = iota + 1 // does not start with a slash
	PathDotSegment                        // has a segment "." or ".."
	PathEmptySegment                      // has an empty segment before its end
	PathEncoded                           // encodes a slash, a backslash, a semicolon, a letter, a digit, "-", ".", "_" or "~"
	PathMalformed                         // has a percent sign without two hexadecimal digits, or is encoded twice
	PathForbidden                         // has a backslash, a semicolon, "?", "#", a space or a control character
)

// String returns a short description for people.
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

// PathError tells that an upstream could read a path in another way than the
// route table does. The request must be refused; it was not run.
type PathError struct {
	fault PathFault
	at    int
}

// Error implements error. It leaves out the path, which a caller chose.
func (e *PathError) Error() string {
	return fmt.Sprintf("ambiguous path: %s at byte %d", e.fault, e.at)
}

// Fault returns what is wrong with the path.
func (e *PathError) Fault() PathFault { return e.fault }

// CheckPath refuses a path that an upstream could resolve to another resource
// than the one matched here. It takes the path as it will be forwarded, which
// is the escaped form without the query, and returns a *PathError.
//
// Upstreams differ in how they treat "/a/../b", "/a//b", "/%61" or "/a;x/b".
// A caller could get a request through a route with class repeat, or with
// another service's policy, that then runs what a stricter route guards. No
// daemon would notice; so only the one spelling that all agree on is let in.
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

// checkEscape looks at what follows a percent sign.
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

// CheckPrefix refuses a route's prefix that some request could spell in more
// than one way: it may hold only slashes and unreserved characters (letters,
// digits, "-", ".", "_", "~"), with no dot segment. It returns a *PathError.
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
