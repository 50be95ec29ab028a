package crentry

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// KeyMark begins every key that `camphorroad key new` issues.
const KeyMark = "crk_"

const (
	headerAPIKey  = "X-Api-Key"
	bearer        = "Bearer "
	ownPrefix     = "Camphorroad-"
	maxKeyLength  = 512
	queryKeyName  = "key"
	cookieKeyName = "key"
)

// hopByHop are the headers that hold for one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

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
	if secret(r.URL.Path, key) {
		return nil, &refusal{status: http.StatusBadRequest, reason: "a key must not stand in the path", final: true}
	}
	return &credential{key: key, header: cleanHeader(r.Header, key), uri: cleanURI(r.URL, key)}, nil
}

func presentedKeys(r *http.Request) []string {
	var keys []string
	add := func(key string) {
		key = strings.TrimSpace(key)
		if key != "" && !contains(keys, key) {
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
		add(r.URL.Query().Get(queryKeyName))
	}
	if len(r.Header["Cookie"]) > 0 {
		for _, c := range r.CookiesNamed(cookieKeyName) {
			add(c.Value)
		}
	}
	return keys
}

func contains(keys []string, key string) bool {
	for _, k := range keys {
		if k == key {
			return true
		}
	}
	return false
}

// secret reports whether a text carries the caller's key, or any key that was
// issued here: a caller may hold several and send one in the wrong place.
func secret(text, key string) bool {
	return strings.Contains(text, key) || strings.Contains(text, KeyMark)
}

// cleanHeader returns what may go to the upstream: no hop-by-hop header, none of
// our own that a caller could forge, and no header with a key in it. A key that
// got past here would let every upstream act as its account.
func cleanHeader(in http.Header, key string) http.Header {
	drop := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		drop[name] = true
	}
	for _, v := range in["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	drop["Authorization"] = true
	drop[headerAPIKey] = true
	out := make(http.Header, len(in))
	for name, values := range in {
		if drop[name] || strings.HasPrefix(name, ownPrefix) || secret(name, key) {
			continue
		}
		if name == "Cookie" {
			values = cleanCookies(values, key)
		}
		for _, v := range values {
			if !secretEncoded(v, key) {
				out[name] = append(out[name], v)
			}
		}
	}
	return out
}

func cleanCookies(values []string, key string) []string {
	var kept []string
	for _, v := range values {
		var parts []string
		for part := range strings.SplitSeq(v, ";") {
			name, _, _ := strings.Cut(strings.TrimSpace(part), "=")
			if name != cookieKeyName && !secretEncoded(part, key) {
				parts = append(parts, strings.TrimSpace(part))
			}
		}
		if len(parts) > 0 {
			kept = append(kept, strings.Join(parts, "; "))
		}
	}
	return kept
}

// secretEncoded also looks behind percent-encoding.
func secretEncoded(v, key string) bool {
	if secret(v, key) {
		return true
	}
	if !strings.Contains(v, "%") {
		return false
	}
	plain, err := url.QueryUnescape(v)
	return err == nil && secret(plain, key)
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
		if name != queryKeyName && !secretEncoded(part, key) {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return path
	}
	return path + "?" + strings.Join(kept, "&")
}
