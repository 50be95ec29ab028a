package crpolicyfile_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crpolicyfile"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func readTestdata(t *testing.T, names ...string) []crpolicyfile.File {
	t.Helper()
	var files []crpolicyfile.File
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, crpolicyfile.File{Name: name, Data: data})
	}
	return files
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs; got:\n%s", name, got)
	}
}

func TestAllProblemsOfAllFilesAreReported(t *testing.T) {
	_, err := crpolicyfile.Build(readTestdata(t, "booking.toml", "accounts.toml", "bad.toml", "type.toml"))
	if err == nil {
		t.Fatal("bad files were accepted")
	}
	if strings.Contains(err.Error(), "crk_") {
		t.Error("the error contains a plain key")
	}
	compareGolden(t, "problems.golden", err.Error()+"\n")
}

func TestBundleIsDeterministic(t *testing.T) {
	one, err := crpolicyfile.Build(readTestdata(t, "booking.toml", "accounts.toml"))
	if err != nil {
		t.Fatal(err)
	}
	two, err := crpolicyfile.Build(readTestdata(t, "accounts.toml", "booking.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if one.Digest() != two.Digest() {
		t.Error("the digest depends on the order of the files")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "manifest\t%s\n", one.Digest())
	for _, v := range one.Values() {
		fmt.Fprintf(&b, "%s\t%s\t%d\n", v.Name, crconfig.DigestOf(v.Data), len(v.Data))
	}
	compareGolden(t, "bundle.golden", b.String())
}

func unpackBundle(t testing.TB, b crpolicyfile.Bundle) (crconfig.Manifest, map[string][]byte) {
	t.Helper()
	m, err := crpolicyfile.ParseManifest(b.Manifest())
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string][]byte)
	for _, v := range b.Values() {
		values[v.Name] = v.Data
	}
	return m, values
}

func TestLoadReturnsTheBuiltPolicy(t *testing.T) {
	b, err := crpolicyfile.Build(readTestdata(t, "booking.toml", "accounts.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m, values := unpackBundle(t, b)
	snap, err := crpolicyfile.Load(7, m, values)
	if err != nil {
		t.Fatal(err)
	}
	svc, _ := snap.Service("booking")
	if snap.Revision() != 7 || svc.Floor != 8 || svc.Routes[1].Class != crpolicy.ClassOnce || svc.Probe.Interval != 5*time.Second {
		t.Errorf("loaded %+v at %d", svc, snap.Revision())
	}
	if acct, ok := snap.AccountByKey(crpolicy.HashKey("test")); !ok || acct.Name != "survey-north" {
		t.Errorf("key belongs to %q", acct.Name)
	}
}

// A value is missing or altered in transit, or a publisher skips validation. Without the
// validation in the daemon, a partial or invalid policy would become active.
func TestLoadRejectsTheWholeConfiguration(t *testing.T) {
	b, err := crpolicyfile.Build(readTestdata(t, "booking.toml", "accounts.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m, values := unpackBundle(t, b)
	unvalidated, err := crpolicyfile.Pack(crpolicyfile.Policy{Accounts: []crpolicy.Account{{Name: "a", Rate: -1, Burst: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	invalid, invalidValues := unpackBundle(t, unvalidated)
	altered := map[string][]byte{}
	for name, data := range values {
		altered[name] = append([]byte{data[0] ^ 1}, data[1:]...)
	}
	for name, tc := range map[string]struct {
		m      crconfig.Manifest
		values map[string][]byte
	}{
		"missing value": {m, nil},
		"altered value": {m, altered},
		"invalid rate":  {invalid, invalidValues},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := crpolicyfile.Load(1, tc.m, tc.values); err == nil {
				t.Error("accepted")
			}
		})
	}
	if _, err := crpolicyfile.ParseManifest([]byte("junk")); err == nil {
		t.Error("junk was accepted as a manifest")
	}
}

func TestEveryValueIsBelowTheSizeLimit(t *testing.T) {
	p := manyAccounts(20_000)
	b, err := crpolicyfile.Pack(p)
	if err != nil {
		t.Fatal(err)
	}
	total, largest := 0, 0
	for _, v := range b.Values() {
		total += len(v.Data)
		largest = max(largest, len(v.Data))
	}
	t.Logf("%d accounts: %d values, %d bytes, largest %d, manifest %d", len(p.Accounts), len(b.Values()), total, largest, len(b.Manifest()))
	if largest >= 64<<10 {
		t.Errorf("a value of %d bytes", largest)
	}
}
