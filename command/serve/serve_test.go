package serve_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"camphorroad/command/factory"
	"camphorroad/command/serve"
	"camphorroad/io/crcert"
)

const settings = `name = "a"
domain = "north"
listen = {http = "127.0.0.1:21001", peer = "127.0.0.1:21002", admin = "127.0.0.1:21003"}
platform.url = "http://127.0.0.1:21004"
tls = {cert = "DIR/CERT.pem", key = "DIR/KEY.key", ca = "DIR/ca.pem"}
`

// If the check accepts a missing file or another daemon's certificate, the daemon does not
// restart, or peers refuse sessions to it.
func TestCheckRejectsMissingAndMismatchedCertificates(t *testing.T) {
	for pair, want := range map[string]string{ // names of the certificate and the key
		"a a": "", "b a": "tls.cert", "missing a": "tls.cert", "b b": `tls.cert is not for "a"`,
	} {
		certFile, keyFile, _ := strings.Cut(pair, " ")
		dir := t.TempDir()
		var out bytes.Buffer
		f := &factory.Factory{Out: &out, ErrOut: &out}
		if err := crcert.Issue(dir, "a", "b"); err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(dir, "daemon.toml")
		text := strings.NewReplacer("DIR", dir, "CERT", certFile, "KEY", keyFile).Replace(settings)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := (&serve.Options{Config: file, Check: true}).Run(t.Context(), f)
		if (err == nil) != (want == "") || (err != nil && !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: got %v", pair, err)
		}
	}
}
