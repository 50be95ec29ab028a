package crentry_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Callers may send keys in further places, such as cookies or links, and encoded. An
// upstream that received one could act as that account, and would log it.
func TestNoKeyReachesUpstream(t *testing.T) {
	up := newRecorder(t)
	p := newHarness(t, up.addr())
	bearer := "Authorization: Bearer " + alphaKey + "\r\n"
	encoded := "%63rk_alpha%2D0123456789"
	twice := "%2563rk_alpha%252D0123456789"
	beta := strings.ReplaceAll(betaKey, "_", "%5F")
	cases := []struct {
		name, uri, headers string
		status             int
	}{
		{"authorization", "/", bearer, 200},
		{"api key", "/", "X-Api-Key: " + alphaKey + "\r\n", 200},
		{"cookie", "/", "Cookie: a=b; key=" + alphaKey + "; c=d\r\n", 200},
		{"query", "/?a=b&key=" + alphaKey, "", 200},
		{"encoded query", "/?k%65y=" + encoded, "", 200},
		{"the same key in two places", "/?key=" + alphaKey, bearer, 200},
		{"two keys", "/", bearer + "X-Api-Key: " + betaKey + "\r\n", 400},
		{"two keys in the query", "/?key=" + alphaKey + "&key=" + betaKey, "", 400},
		{"two authorizations", "/", bearer + "Authorization: Bearer " + betaKey + "\r\n", 400},
		{"key in the path", "/" + alphaKey, bearer, 400},
		{"encoded key in the path", "/" + encoded, bearer, 400},
		{"key in the path, encoded twice", "/" + twice, bearer, 400},
		{"key as host", "/", "Host: " + alphaKey + "\r\n" + bearer, 400},
		{"another account's key in a header", "/", bearer + "X-Other: " + betaKey + "\r\n", 200},
		{"encoded in a header, beside a bad escape", "/", bearer + "X-Other: 100% " + beta + "\r\n", 200},
		{"encoded twice in a header", "/", bearer + "X-Other: " + twice + "\r\n", 200},
		{"in a referer", "/", bearer + "Referer: http://h/?key=" + encoded + "\r\n", 200},
		{"in a header's name", "/", bearer + "X-" + alphaKey + ": x\r\n", 200},
		{"as a header's name", "/", bearer + alphaKey + ": x\r\n", 200},
		{"basic and proxy authorization", "/", "X-Api-Key: " + alphaKey + "\r\nAuthorization: Basic Y3JrX2FscGhh\r\nProxy-Authorization: " + alphaKey + "\r\n", 200},
		{"another cookie", "/", bearer + "Cookie: session=" + encoded + "; c=d\r\n", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			host := "Host: h\r\n"
			if strings.HasPrefix(c.headers, "Host:") {
				host = ""
			}
			got := p.raw("GET " + c.uri + " HTTP/1.1\r\n" + host + c.headers + "\r\n")
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(c.status), got.body)
			g.Expect(strings.ToLower(got.body)).NotTo(gomega.ContainSubstring("crk_"))
		})
	}
	for _, seen := range up.requests() {
		low := strings.ToLower(seen)
		for _, bad := range []string{"crk", "0123456789", "authorization", "alpha%2d", "rk_"} {
			p.Expect(low).NotTo(gomega.ContainSubstring(bad))
		}
	}
}

// A caller may forge the header that names its account to an upstream, or list it in
// Connection. An upstream that trusted it would act for another account.
func TestForgedCallerHeadersAreRemoved(t *testing.T) {
	up := newRecorder(t)
	p := newHarness(t, up.addr())
	got := p.raw("GET / HTTP/1.1\r\n" + auth +
		"camphorroad-account: beta\r\nCamphorroad-Request: 1\r\nCAMPHORROAD-DEADLINE: 9\r\nCamphorroad_Account: beta\r\n" +
		"Connection: X-Named, camphorroad-account\r\nX-Named: 1\r\nX-Kept: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\nProxy-Connection: close\r\n\r\n")
	p.Expect(got.status).To(gomega.Equal(http.StatusOK))
	seen := up.requests()[0]
	p.Expect(seen).To(gomega.ContainSubstring("Camphorroad-Account: alpha"))
	p.Expect(seen).To(gomega.ContainSubstring("X-Kept: 1"))
	for _, bad := range []string{"beta", "X-Named", "Keep-Alive", "Te:", "Proxy-Connection", "Camphorroad_"} {
		p.Expect(seen).NotTo(gomega.ContainSubstring(bad))
	}
}

// An upstream may send hop-by-hop headers, or headers that callers would take for the
// fleet's.
func TestForgedUpstreamHeadersAreRemoved(t *testing.T) {
	p := newHarness(t, listenHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Camphorroad-Outcome"] = []string{"notrun", "cut"}
		w.Header().Set("Camphorroad-Request", "forged")
		w.Header().Set("Connection", "X-Named")
		w.Header().Set("X-Named", "1")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Kept", "1")
	})))
	got := p.get("/")
	p.Expect(got.header.Values("Camphorroad-Outcome")).To(gomega.Equal([]string{"answered"}))
	p.Expect(got.header.Get("Camphorroad-Request")).NotTo(gomega.Equal("forged"))
	p.Expect(got.header).NotTo(gomega.HaveKey("X-Named"))
	p.Expect(got.header).NotTo(gomega.HaveKey("Keep-Alive"))
	p.Expect(got.header.Get("X-Kept")).To(gomega.Equal("1"))
}
