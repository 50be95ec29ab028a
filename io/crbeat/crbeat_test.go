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

// listen opens a channel on an address of its own; grant tells what it grants.
func listen(t *testing.T, host string, port int, grant func(crid.Account, crquota.Origin) (bool, time.Duration, bool)) *crbeat.Channel {
	t.Helper()
	c, err := crbeat.Listen(crbeat.Options{
		Address: fmt.Sprintf("%s:%d", host, port), Heard: func(crid.Daemon, crmesh.Heartbeat) {}, Grant: grant,
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

// others takes another daemon for the owner of all accounts.
func others(crid.Account, crquota.Origin) (bool, time.Duration, bool) { return false, 0, false }

// The path between an entry and the owner of an account is cut, and both reach a
// third daemon. Held to a part of the rate, callers inside it would be refused for
// as long as the cut lasts; the third passes the question on.
func TestAQuestionIsPassedOnToTheOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	const port = 28411
	asked := make(chan crid.Account, 1)
	entry := listen(t, "127.0.40.1", port, others)
	third := listen(t, "127.0.40.2", port, others)
	owner := listen(t, "127.0.40.3", port, func(a crid.Account, _ crquota.Origin) (bool, time.Duration, bool) {
		asked <- a
		return true, 0, true
	})
	third.PassOn(func(ctx context.Context, a crid.Account, _ crquota.Origin) (bool, time.Duration, error) {
		return third.Ask(ctx, "127.0.40.3", a, crquota.FromPeer)
	})
	run(t, entry, third, owner)
	ok, _, err := entry.Ask(t.Context(), "127.0.40.2", "survey", crquota.ToRelay)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(asked).To(gomega.Receive(gomega.Equal(crid.Account("survey"))))
}

// The owner is dead for all. The daemon in between has no answer to give, and the
// entry must not take its silence for a token.
func TestWithoutAnOwnerNobodyAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	const port = 28412
	entry := listen(t, "127.0.40.1", port, others)
	third := listen(t, "127.0.40.2", port, others)
	third.PassOn(func(context.Context, crid.Account, crquota.Origin) (bool, time.Duration, error) {
		return false, 0, errors.New("silent")
	})
	run(t, entry, third)
	ok, _, err := entry.Ask(t.Context(), "127.0.40.2", "survey", crquota.ToRelay)
	g.Expect(err).To(gomega.MatchError(crbeat.ErrSilent))
	g.Expect(ok).To(gomega.BeFalse())
}

// Two daemons each take the other for an account's owner. A question must not go
// round between them for ever.
func TestAQuestionIsPassedOnOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	const port = 28413
	entry := listen(t, "127.0.40.1", port, others)
	one := listen(t, "127.0.40.2", port, others)
	other := listen(t, "127.0.40.3", port, others)
	one.PassOn(func(ctx context.Context, a crid.Account, _ crquota.Origin) (bool, time.Duration, error) {
		return one.Ask(ctx, "127.0.40.3", a, crquota.FromRelay)
	})
	other.PassOn(func(context.Context, crid.Account, crquota.Origin) (bool, time.Duration, error) {
		t.Error("it was passed on again")
		return false, 0, errors.New("again")
	})
	run(t, entry, one, other)
	_, _, err := entry.Ask(t.Context(), "127.0.40.2", "survey", crquota.FromPeer)
	g.Expect(err).To(gomega.MatchError(crbeat.ErrSilent))
}
