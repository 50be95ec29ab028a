package crentry

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// KeyPrefix is the prefix of every key that `camphorroad key new` issues.
const KeyPrefix = "crk_"

const (
	headerAPIKey  = "X-Api-Key"
	bearerPrefix  = "Bearer "
	maxKeyLength  = 512
	queryKeyName  = "key"
	cookieKeyName = "key"
)

// credential is the caller's key and the request's head without it.
type credential struct {
	key    string
	header http.Header // to forward to the upstream
	uri    string      // path and query without keys
}

// readCredential extracts the caller's key and returns the head without it. The key
// is a bearer token, X-Api-Key, or a cookie or query parameter named "key". Two
// different keys are refused, because the account would be ambiguous.
func readCredential(r *http.Request) (*credential, *refusal) {
	keys := presentedKeys(r)
	switch {
	case len(keys) == 0:
		return nil, &refusal{status: http.StatusUnauthorized, reason: "a key is needed: Authorization: Bearer KEY", permanent: true}
	case len(keys) > 1:
		return nil, &refusal{status: http.StatusBadRequest, reason: "more than one key was given", permanent: true}
	}
	key := keys[0]
	if len(key) > maxKeyLength {
		return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown or withdrawn key", permanent: true}
	}
	// Routing depends on these values, so a key cannot be removed from them.
	if containsKey(r.URL.EscapedPath(), key) || containsKey(r.Host, key) || containsKey(r.Method, key) {
		return nil, &refusal{status: http.StatusBadRequest, reason: "a key must not stand in path, host or method", permanent: true}
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
		if len(v) > len(bearerPrefix) && strings.EqualFold(v[:len(bearerPrefix)], bearerPrefix) {
			add(v[len(bearerPrefix):])
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

// cleanHeader returns the headers for the upstream. It drops hop-by-hop headers, the
// fleet's own headers, which a caller could forge, and headers that contain a key. An
// upstream that received a key could act as its account.
func cleanHeader(in http.Header, key string) http.Header {
	listed := connectionHeaders(in)
	out := make(http.Header, len(in))
	for name, values := range in {
		if isHopByHop(name) || isFleetHeader(name) || slices.Contains(listed, name) || entryOnly(name) || containsKey(name, key) {
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

// entryOnly reports whether a header is for the entry only. Expect is one of them: the
// entry has sent 100 Continue itself by the time it forwards.
func entryOnly(name string) bool {
	return name == "Authorization" || name == headerAPIKey || name == "Expect"
}

// cleanValues drops the values that contain a key. It returns the slice itself if
// there are none, which is nearly always.
func cleanValues(values []string, key string) []string {
	clean := func(v string) bool { return !containsKey(v, key) }
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
			if name != cookieKeyName && !containsKey(part, key) {
				parts = append(parts, strings.TrimSpace(part))
			}
		}
		if len(parts) > 0 {
			kept = append(kept, strings.Join(parts, "; "))
		}
	}
	return kept
}

// cleanURI drops the query parameters that contain a key. The others keep their order
// and spelling.
func cleanURI(u *url.URL, key string) string {
	path := u.EscapedPath()
	if u.RawQuery == "" {
		return path
	}
	var kept []string
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		name, _, _ := strings.Cut(part, "=")
		if name != queryKeyName && !containsKey(part, key) {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return path
	}
	return path + "?" + strings.Join(kept, "&")
}
