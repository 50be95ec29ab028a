package crconfig_test

import (
	"slices"
	"testing"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmember"
)

// harness runs one reducer; the test sends it the messages of its peers.
type harness struct {
	*crconfig.State
	now   crid.Instant
	nonce uint64 // nonce of the reducer's last query, which the peers echo
}

func newHarness(peers ...crid.Daemon) *harness {
	p := &harness{State: crconfig.New(smallFleetParams(), parse, load)}
	p.Step(crevent.Started{Self: "self", Domain: "m", Incarnation: 1, Seed: 1})
	var list []crmember.Peer
	for _, d := range peers {
		list = append(list, crmember.Peer{Daemon: d, Domain: "m", Reachable: true})
	}
	p.Step(crmember.PeersChanged{Peers: list})
	p.advance(600 * time.Millisecond) // until the first query of the peers
	return p
}

func (p *harness) advance(d time.Duration) []crevent.Effect {
	p.now = p.now.Add(d)
	effects := p.Step(crevent.Tick{Now: p.now})
	for _, e := range effects {
		if send, ok := e.(crevent.Send); ok {
			if have, ok := send.Msg.(crconfig.Have); ok && have.Nonce != 0 {
				p.nonce = have.Nonce
			}
		}
	}
	return effects
}

func (p *harness) receive(from crid.Daemon, msg crevent.Message) []crevent.Effect {
	if have, ok := msg.(crconfig.Have); ok {
		have.Echo = p.nonce
		have.Reply = true
		msg = have
	}
	return p.Step(crevent.Received{Now: p.now, From: from, Msg: msg})
}

// findPull returns the first Pull among the effects and its receiver.
func findPull(effects []crevent.Effect) (crid.Daemon, crconfig.Pull) {
	for _, e := range effects {
		if send, ok := e.(crevent.Send); ok {
			if pull, ok := send.Msg.(crconfig.Pull); ok {
				return send.To, pull
			}
		}
	}
	return "", crconfig.Pull{}
}

func hasReport(effects []crevent.Effect, number int) bool {
	return slices.ContainsFunc(effects, func(e crevent.Effect) bool {
		report, ok := e.(crevent.Report)
		return ok && report.Number == number
	})
}

func fullPush(b bundle, d crconfig.Digest) crconfig.Push {
	data := b.values[d]
	return crconfig.Push{Parts: []crconfig.Part{{Digest: d, Size: len(data), Data: data}}}
}

// transfer sends the reducer a whole configuration from one peer.
func (p *harness) transfer(t *testing.T, from crid.Daemon, rev crid.Revision, b bundle) {
	t.Helper()
	to, pull := findPull(p.receive(from, crconfig.Have{Conf: rev, Manifest: b.digest()}))
	for range 8 {
		if to == "" {
			break
		}
		to, pull = findPull(p.receive(to, fullPush(b, pull.Want[0].Digest)))
	}
	if p.Revision() != rev {
		t.Fatalf("has revision %d, want %d: %+v", p.Revision(), rev, p.Dump())
	}
}

// A delayed push arrives twice after a newer configuration was applied. Applying
// it would make a withdrawn key valid again.
func TestLateDuplicatePushIsIgnored(t *testing.T) {
	p := newHarness("a")
	older, newer := newBundle(content{Keys: []string{"k"}}), newBundle(content{})
	p.transfer(t, "a", 3, older)
	p.transfer(t, "a", 5, newer)
	for range 2 {
		for d := range older.values {
			p.receive("a", fullPush(older, d))
		}
		p.receive("a", crconfig.Have{Conf: 3, Manifest: older.digest()})
		p.advance(tick)
	}
	if p.Revision() != 5 {
		t.Errorf("went to revision %d", p.Revision())
	}
}

// A peer replies to a pull with corrupt bytes, or not at all. The daemon would
// stay behind if it kept pulling from that peer.
func TestCorruptOrUnresponsivePeerIsReplaced(t *testing.T) {
	p := newHarness("a", "b", "c")
	b := newBundle(content{})
	for _, d := range []crid.Daemon{"a", "b", "c"} {
		p.receive(d, crconfig.Have{})
	}
	p.receive("a", crconfig.Have{Conf: 4, Manifest: b.digest()})
	p.receive("b", crconfig.Have{Conf: 4, Manifest: b.digest()})
	first, second := crid.Daemon("a"), crid.Daemon("b")
	raw := slices.Clone(b.raw)
	raw[0] ^= 1
	effects := p.receive(first, crconfig.Push{Parts: []crconfig.Part{{Digest: b.digest(), Size: len(raw), Data: raw}}})
	if !hasReport(effects, crconfig.EventCorruptPush) {
		t.Error("the corrupt bytes were not reported")
	}
	if to, _ := findPull(effects); to != second {
		t.Fatalf("after corrupt bytes pulled from %q", to)
	}
	p.receive("c", crconfig.Have{Conf: 4, Manifest: b.digest()})
	if to, _ := findPull(p.advance(2 * time.Second)); to != "c" {
		t.Errorf("after the time-out pulled from %q", to)
	}
}

// A value larger than one message is sent in parts. A lost or duplicate part must
// not corrupt the value.
func TestLargeValueIsPulledInParts(t *testing.T) {
	key := make([]byte, 200_000)
	for i := range key {
		key[i] = 'k'
	}
	b := newBundle(content{Keys: []string{string(key)}})
	source, sink := newHarness("sink"), newHarness("source")
	source.transfer(t, "sink", 7, b)
	_, pull := findPull(sink.receive("source", crconfig.Have{Conf: 7, Manifest: b.digest()}))
	rounds := 0
	for len(pull.Want) > 0 && rounds < 20 {
		rounds++
		push := source.receive("sink", pull)[0].(crevent.Send).Msg.(crconfig.Push)
		size := 0
		for _, part := range push.Parts {
			size += len(part.Data)
		}
		if size > smallFleetParams().PushBytes {
			t.Fatalf("%d bytes in one message", size)
		}
		_, pull = findPull(sink.receive("source", push))
		sink.receive("source", push)
	}
	if sink.Revision() != 7 || rounds != 5 {
		t.Errorf("has revision %d after %d rounds", sink.Revision(), rounds)
	}
}

// Two different manifests have the same revision. Daemons with different ones
// would disagree on whether a key is valid.
func TestConflictingManifestsAreReported(t *testing.T) {
	p := newHarness("a")
	p.transfer(t, "a", 3, newBundle(content{}))
	other := newBundle(content{Keys: []string{"x"}})
	if !hasReport(p.receive("a", crconfig.Have{Conf: 3, Manifest: other.digest()}), crconfig.EventConflictingManifests) {
		t.Error("the conflict was not reported")
	}
}

// The first reply to a new daemon comes from a lagging peer. Applying its
// configuration would bring back a withdrawn key at a restart.
func TestNewDaemonWaitsForQuorum(t *testing.T) {
	p := newHarness("a", "b", "c", "d")
	p.Step(crmember.Lease{Now: p.now, Members: []crid.Daemon{"a", "b", "c", "d", "e", "f", "self"}, ContactUntil: p.now.Add(lease)})
	older, newer := newBundle(content{Keys: []string{"k"}}), newBundle(content{})
	for _, d := range []crid.Daemon{"a", "b"} {
		if to, _ := findPull(p.receive(d, crconfig.Have{Conf: 3, Manifest: older.digest()})); to != "" {
			t.Fatalf("pulled from %s before the quorum", to)
		}
	}
	to, pull := findPull(p.receive("c", crconfig.Have{Conf: 5, Manifest: newer.digest()}))
	if to != "c" || pull.Want[0].Digest != newer.digest() {
		t.Errorf("pulled %v from %q", pull, to)
	}
}

// The platform announces a configuration that it cannot serve, while a peer has
// the one before, in which a key is withdrawn. That one must still be applied.
func TestPeerConfigurationPrecedesUnreadablePlatform(t *testing.T) {
	p := newHarness("a")
	applied, announced := newBundle(content{}), newBundle(content{Keys: []string{"n"}})
	p.transfer(t, "a", 2, newBundle(content{Keys: []string{"k"}}))
	to, pull := findPull(p.receive("a", crconfig.Have{Conf: 3, Manifest: applied.digest()}))
	p.Step(crconfig.WatchResult{Now: p.now, Head: crconfig.Head{Rev: 4, Conf: 4, Manifest: announced.digest()}})
	for range 4 {
		if to == "" {
			break
		}
		to, pull = findPull(p.receive(to, fullPush(applied, pull.Want[0].Digest)))
	}
	if p.Revision() != 3 {
		t.Errorf("has revision %d: %+v", p.Revision(), p.Dump())
	}
}

// A key is withdrawn while a daemon is suspended with earlier messages in its queue.
// After it resumes, it must not accept the key because of these messages.
func TestResumedDaemonTrustsOnlyNewReplies(t *testing.T) {
	p := newHarness("a", "b", "c")
	p.Step(crmember.Lease{Now: p.now, ContactUntil: p.now.Add(lease)})
	p.receive("b", crconfig.Have{})
	p.transfer(t, "a", 3, newBundle(content{Keys: []string{"k"}}))
	if !p.Trusted(p.now) {
		t.Fatalf("not trusted before the suspension: %+v", p.Dump())
	}
	p.now = p.now.Add(time.Minute)
	p.Step(crmember.Lease{Now: p.now, ContactUntil: p.now.Add(lease)})
	for _, d := range []crid.Daemon{"a", "b"} {
		p.receive(d, crconfig.Have{Conf: 3, Manifest: newBundle(content{Keys: []string{"k"}}).digest()})
	}
	if p.Trusted(p.now) {
		t.Error("trusts replies to an old query")
	}
	p.advance(tick)
	newer := newBundle(content{})
	p.receive("a", crconfig.Have{Conf: 4, Manifest: newer.digest()})
	if p.Trusted(p.now) {
		t.Error("trusts while a peer has a newer configuration")
	}
	p.transfer(t, "b", 4, newer)
	if !p.Trusted(p.now) {
		t.Errorf("trust was not regained: %+v", p.Dump())
	}
}
