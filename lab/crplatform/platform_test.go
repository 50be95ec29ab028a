package crplatform_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	ioplatform "camphorroad/io/crplatform"
	"camphorroad/lab/crplatform"
)

func TestIncompleteBundleIsNotPublished(t *testing.T) {
	p := crplatform.New(0)
	if _, err := p.Publish([]byte("junk"), nil); !errors.Is(err, crplatform.ErrIncompleteBundle) {
		t.Errorf("got %v", err)
	}
}

func TestReadInstances(t *testing.T) {
	dir := t.TempDir()
	text := `[[instance]]
daemon = "booking-1"
domain = "north"
addr = "127.0.0.1:7001"
state = "leaving"
[[instance.target]]
name = "booking-1-a"
service = "booking"
`
	if err := os.WriteFile(filepath.Join(dir, "instances.toml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, ok, err := crplatform.ReadInstances(dir)
	if err != nil || !ok || len(got) != 1 || got[0].State != crinstance.StateLeaving || got[0].Targets[0].Service != "booking" {
		t.Errorf("got %+v, %v, %v", got, ok, err)
	}
}

// Daemons reject a response above their size limit. If a long list were sent in one
// response, a large fleet would never get a new list.
func TestLongListIsReadInPages(t *testing.T) {
	list := make([]crinstance.Instance, 5500)
	for i := range list {
		list[i] = crinstance.Instance{Daemon: crid.Daemon(fmt.Sprintf("instance-%05d", i)), Domain: "north", Addr: "127.0.0.1:7001"}
		for n := range 9 {
			name := crid.Target(fmt.Sprintf("target-of-instance-%05d-%d", i, n))
			list[i].Targets = append(list[i].Targets, crinstance.Target{Name: name, Service: "booking"})
		}
	}
	p := crplatform.New(0)
	p.SetInstances(list)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client, err := ioplatform.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	got, err := client.Instances(t.Context())
	if err != nil || len(got.Instances()) != len(list) {
		t.Errorf("got %d instances, %v", len(got.Instances()), err)
	}
}
