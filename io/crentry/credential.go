package crentry

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// KeyPrefix begins every key that `camphorroad key new` issues.
const KeyPrefix = "crk_"

const (
	headerAPIKey  = "X-Api-Key"
	bearer        = "Bearer "
	maxKeyLength  = 512
	queryKeyName  = "key"
	cookieKeyName = "key"
)

// credential is what a request's head gives once the key is taken off it.
type credential struct {
	key    string
	header http.Header // fit for the upstream
	uri    string      // path and query without any key
}

// readCredential finds the caller's key and returns the head without it. A key
// may come as a bearer token, in X-Api-Key, in a cookie or a query parameter
// named "key". Two different keys are refused: it would be unclear for which
// account the request runs.
func readCredential(r *http.Request) (*credential, *refusal) {
	keys := presentedKeys(r)
	switch {
	case len(keys) == 0:
		return nil, &refusal{status: http.StatusUnauthorized, reason: "a key is needed: Authorization: Bearer KEY", final: true}
	case len(keys) > 1:
		return nil, &refusal{status: http.StatusBadRequest, reason: "more than one key was given", final: true}
	}
	key := keys[0]
	if len(key) > maxKeyLength {
		return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown or withdrawn key", final: true}
	}
	// These decide about the route and can not go without a part of them.
	if secret(r.URL.EscapedPath(), key) || secret(r.Host, key) || secret(r.Method, key) {
		return nil, &refusal{status: http.StatusBadRequest, reason: "a key must not stand in path, host or method", final: true}
	}
	return &credential{key: key, header: cleanHeader(r.Header, key), uri: cleanURI(r.URL, key)}, nil
}

func presentedKeys(r *http.Request) []string {
	var keys []string
	add := func(key string) {
		key = strings.TrimSpace(key)
		if key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	for _, v := range r.Header.Values("Authorization") {
		if len(v) > len(bearer) && strings.EqualFold(v[:len(bearer)], bearer) {
			add(v[len(bearer):])
		}
	}
	for _, v := range r.Header.Values(headerAPIKey) {
		add(v)
	}
	if r.URL.RawQuery != "" {
		for _, v := range r.URL.Query()[queryKeyName] {
			add(v)
		}
	}
	if len(r.Header["Cookie"]) > 0 {
		for _, c := range r.CookiesNamed(cookieKeyName) {
			add(c.Value)
		}
	}
	return keys
}

// cleanHeader returns what may go to the upstream: no hop-by-hop header, none of
// our own that a caller could forge, and no header with a key in it. A key that
// got past here would let every upstream act as its account.
func cleanHeader(in http.Header, key string) http.Header {
	named := connectionHeaders(in)
	out := make(http.Header, len(in))
	for name, values := range in {
		if hopByHop(name) || own(name) || slices.Contains(named, name) || withheld(name) || secret(name, key) {
			continue
		}
		if name == "Cookie" {
			values = cleanCookies(values, key)
		}
		if kept := cleanValues(values, key); len(kept) > 0 {
			out[name] = kept
		}
	}
	return out
}

// withheld reports whether a header is for the entry alone. The entry has met
// the caller's expectation itself by the time it forwards.
func withheld(name string) bool {
	return name == "Authorization" || name == headerAPIKey || name == "Expect"
}

// cleanValues returns the values themselves where none carries a key, which is
// nearly always.
func cleanValues(values []string, key string) []string {
	clean := func(v string) bool { return !secret(v, key) }
	if !slices.ContainsFunc(values, func(v string) bool { return !clean(v) }) {
		return values
	}
	var kept []string
	for _, v := range values {
		if clean(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func cleanCookies(values []string, key string) []string {
	var kept []string
	for _, v := range values {
		var parts []string
		for part := range strings.SplitSeq(v, ";") {
			name, _, _ := strings.Cut(strings.TrimSpace(part), "=")
			if name != cookieKeyName && !secret(part, key) {
				parts = append(parts, strings.TrimSpace(part))
			}
		}
		if len(parts) > 0 {
			kept = append(kept, strings.Join(parts, "; "))
		}
	}
	return kept
}

// cleanURI drops the query parameters that carry a key; the others keep their
// order and spelling.
func cleanURI(u *url.URL, key string) string {
	path := u.EscapedPath()
	if u.RawQuery == "" {
		return path
	}
	var kept []string
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		name, _, _ := strings.Cut(part, "=")
		if name != queryKeyName && !secret(part, key) {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return path
	}
	return path + "?" + strings.Join(kept, "&")
}
