package crplatform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crplatform"
	"camphorroad/io/crpolicyfile"
	lab "camphorroad/lab/crplatform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startPlatform(t *testing.T) (*lab.Platform, *crplatform.Client) {
	t.Helper()
	p := lab.New(10)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	c, err := crplatform.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return p, c
}

func publish(t *testing.T, p *lab.Platform, account crid.Account) crpolicyfile.Bundle {
	t.Helper()
	b, err := crpolicyfile.Pack(crpolicyfile.Policy{Accounts: []crpolicy.Account{{Name: account, Rate: 1, Burst: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	var values [][]byte
	for _, v := range b.Values() {
		values = append(values, v.Data)
	}
	if _, err := p.Publish(b.Manifest(), values); err != nil {
		t.Fatal(err)
	}
	return b
}

func TestClientReadsPublishedValuesAndInstances(t *testing.T) {
	p, c := startPlatform(t)
	ctx := t.Context()
	b := publish(t, p, "one")
	var instances []crinstance.Instance
	for i := range 4500 {
		instances = append(instances, crinstance.Instance{Daemon: crid.Daemon(fmt.Sprintf("d%05d", i)), State: crinstance.StateLive})
	}
	p.SetInstances(instances)
	head, err := c.Watch(ctx, 0, time.Second)
	if err != nil || head.Conf != 11 || head.List != 12 || head.Rev != 12 || head.Manifest != b.Digest() {
		t.Fatalf("head %+v, %v", head, err)
	}
	if _, err := c.Value(ctx, crplatform.ManifestName, head.Manifest); err != nil {
		t.Error(err)
	}
	v := b.Values()[0]
	if _, err := c.Value(ctx, v.Name, crconfig.DigestOf(v.Data)); err != nil {
		t.Error(err)
	}
	list, err := c.Instances(ctx)
	if err != nil || list.Len() != 4500 || list.Revision() != 12 {
		t.Errorf("%d instances at %d, %v", list.Len(), list.Revision(), err)
	}
	if got := p.Counts(); got != (lab.Counts{Watch: 1, Value: 2, Instances: 3}) {
		t.Errorf("counts %+v", got)
	}
}

func TestWatchWaitsForAChange(t *testing.T) {
	p, c := startPlatform(t)
	publish(t, p, "one")
	time.AfterFunc(50*time.Millisecond, func() { p.SetInstances(nil) })
	head, err := c.Watch(t.Context(), 11, 10*time.Second)
	if err != nil || head.List != 12 {
		t.Errorf("head %+v, %v", head, err)
	}
	if p.Counts().Watch != 1 {
		t.Errorf("a pending watch was counted %d times", p.Counts().Watch)
	}
}

// The platform restarts, stops answering, or is restored from a backup. The daemon must distinguish these:
// it waits for an unavailable platform, and never accepts an older revision as a change.
func TestWatchDistinguishesFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault lab.Fault
		want  error
	}{
		"unavailable": {lab.Fault{Mode: lab.ModeReset}, crplatform.ErrUnavailable},
		"hang":        {lab.Fault{Mode: lab.ModeHang}, crplatform.ErrUnavailable},
		"slow":        {lab.Fault{Mode: lab.ModeSlow, Delay: 10 * time.Millisecond}, nil},
		"stale":       {lab.Fault{Mode: lab.ModeStale}, crplatform.ErrStale},
	} {
		t.Run(name, func(t *testing.T) {
			p, c := startPlatform(t)
			publish(t, p, "one")
			publish(t, p, "two")
			p.SetFault(tc.fault)
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			if _, err := c.Watch(ctx, 12, time.Millisecond); !errors.Is(err, tc.want) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestValueChecksSizeAndDigest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/value/large":
			_, _ = w.Write(make([]byte, crconfig.MaxValueSize))
		case "/v1/value/other":
			_, _ = w.Write([]byte("other bytes"))
		default:
			http.NotFound(w, r)
		}
	}))
	defer server.Close()
	c, err := crplatform.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for name, want := range map[string]error{
		"large": crplatform.ErrTooLarge,
		"other": crplatform.ErrStale,
		"none":  crplatform.ErrNotFound,
	} {
		if _, err := c.Value(t.Context(), name, crconfig.Digest{}); !errors.Is(err, want) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
