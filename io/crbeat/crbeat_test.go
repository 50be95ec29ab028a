package crbeat_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crquota"
	"camphorroad/io/crbeat"
)

// listen opens a channel on an address of its own; grant is its Options.Grant.
func listen(t *testing.T, host string, port int, grant func(crid.Account, crquota.Origin) (bool, time.Duration, bool)) *crbeat.Channel {
	t.Helper()
	c, err := crbeat.Listen(crbeat.Options{
		Address: fmt.Sprintf("%s:%d", host, port), OnHeartbeat: func(crid.Daemon, crmesh.Heartbeat) {}, Grant: grant,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func run(t *testing.T, channels ...*crbeat.Channel) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, len(channels))
	for _, c := range channels {
		go func() { done <- c.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range channels {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
}

// notOwner is an Options.Grant that leaves all accounts to other daemons.
func notOwner(crid.Account, crquota.Origin) (bool, time.Duration, bool) { return false, 0, false }

// An entry and the owner of an account reach each other only through a third daemon. It must
// relay the request, or callers at the entry would be limited to a fraction of the rate.
func TestRequestIsRelayedToTheOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	const port = 28411
	requested := make(chan crid.Account, 1)
	entry := listen(t, "127.0.40.1", port, notOwner)
	relay := listen(t, "127.0.40.2", port, notOwner)
	owner := listen(t, "127.0.40.3", port, func(a crid.Account, _ crquota.Origin) (bool, time.Duration, bool) {
		requested <- a
		return true, 0, true
	})
	relay.SetRelay(func(ctx context.Context, a crid.Account, _ crquota.Origin) (bool, time.Duration, error) {
		return relay.RequestToken(ctx, "127.0.40.3", a, crquota.FromPeer)
	})
	run(t, entry, relay, owner)
	ok, _, err := entry.RequestToken(t.Context(), "127.0.40.2", "survey", crquota.ToRelay)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(requested).To(gomega.Receive(gomega.Equal(crid.Account("survey"))))
}

// No daemon can reach the owner. The relay must not respond, and the entry must not count
// the timeout as a granted token.
func TestRelayWithoutAnOwnerDoesNotRespond(t *testing.T) {
	g := gomega.NewWithT(t)
	const port = 28412
	entry := listen(t, "127.0.40.1", port, notOwner)
	relay := listen(t, "127.0.40.2", port, notOwner)
	relay.SetRelay(func(context.Context, crid.Account, crquota.Origin) (bool, time.Duration, error) {
		return false, 0, errors.New("no response")
	})
	run(t, entry, relay)
	ok, _, err := entry.RequestToken(t.Context(), "127.0.40.2", "survey", crquota.ToRelay)
	g.Expect(err).To(gomega.MatchError(crbeat.ErrNoResponse))
	g.Expect(ok).To(gomega.BeFalse())
}

// Two daemons regard each other as the owner of an account. A request must not be relayed
// between them forever.
func TestRequestIsRelayedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	const port = 28413
	entry := listen(t, "127.0.40.1", port, notOwner)
	first := listen(t, "127.0.40.2", port, notOwner)
	second := listen(t, "127.0.40.3", port, notOwner)
	first.SetRelay(func(ctx context.Context, a crid.Account, _ crquota.Origin) (bool, time.Duration, error) {
		return first.RequestToken(ctx, "127.0.40.3", a, crquota.FromRelay)
	})
	second.SetRelay(func(context.Context, crid.Account, crquota.Origin) (bool, time.Duration, error) {
		t.Error("the request was relayed a second time")
		return false, 0, errors.New("relayed again")
	})
	run(t, entry, first, second)
	_, _, err := entry.RequestToken(t.Context(), "127.0.40.2", "survey", crquota.FromPeer)
	g.Expect(err).To(gomega.MatchError(crbeat.ErrNoResponse))
}

// Guards against two daemons that grant retries from the same pool.
func TestOnlyTheOwnerOfAPoolAnswersRetryRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	const port = 28431
	listenPool := func(host string, grant func(crid.Service) (bool, bool)) *crbeat.Channel {
		c, err := crbeat.Listen(crbeat.Options{Address: fmt.Sprintf("%s:%d", host, port), Grant: notOwner, GrantRetry: grant})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return c
	}
	entry := listenPool("127.0.40.1", nil)
	other := listenPool("127.0.40.2", func(crid.Service) (bool, bool) { return false, false })
	left := 1
	owner := listenPool("127.0.40.3", func(s crid.Service) (bool, bool) {
		left--
		return s == "ledger" && left >= 0, true
	})
	run(t, entry, other, owner)
	_, err := entry.RequestRetry(t.Context(), "127.0.40.2", "ledger")
	g.Expect(err).To(gomega.MatchError(crbeat.ErrNoResponse))
	ok, err := entry.RequestRetry(t.Context(), "127.0.40.3", "ledger")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ok).To(gomega.BeTrue())
	ok, err = entry.RequestRetry(t.Context(), "127.0.40.3", "ledger")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ok).To(gomega.BeFalse(), "the pool is used up")
}
