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

// puller is one reducer that hears from hand-made peers.
type puller struct {
	*crconfig.State
	now crid.Instant
	ask uint64 // of the reducer's last question, which the peers echo
}

func newPuller(peers ...crid.Daemon) *puller {
	p := &puller{State: crconfig.New(quick(), parse, load)}
	p.Step(crevent.Started{Self: "self", Domain: "m", Incarnation: 1, Seed: 1})
	var list []crmember.Peer
	for _, d := range peers {
		list = append(list, crmember.Peer{Daemon: d, Domain: "m", Reachable: true})
	}
	p.Step(crmember.PeersChanged{Peers: list})
	p.after(600 * time.Millisecond) // the asking of peers
	return p
}

func (p *puller) after(d time.Duration) []crevent.Effect {
	p.now = p.now.Add(d)
	effects := p.Step(crevent.Tick{Now: p.now})
	for _, e := range effects {
		if send, ok := e.(crevent.Send); ok {
			if have, ok := send.Msg.(crconfig.Have); ok && have.Ask != 0 {
				p.ask = have.Ask
			}
		}
	}
	return effects
}

func (p *puller) hear(from crid.Daemon, msg crevent.Message) []crevent.Effect {
	if have, ok := msg.(crconfig.Have); ok {
		have.Echo = p.ask
		have.Reply = true
		msg = have
	}
	return p.Step(crevent.Received{Now: p.now, From: from, Msg: msg})
}

// pulled returns whom a Pull goes to.
func pulled(effects []crevent.Effect) (crid.Daemon, crconfig.Pull) {
	for _, e := range effects {
		if send, ok := e.(crevent.Send); ok {
			if pull, ok := send.Msg.(crconfig.Pull); ok {
				return send.To, pull
			}
		}
	}
	return "", crconfig.Pull{}
}

func reported(effects []crevent.Effect, number int) bool {
	return slices.ContainsFunc(effects, func(e crevent.Effect) bool {
		report, ok := e.(crevent.Report)
		return ok && report.Number == number
	})
}

func whole(b bundle, d crconfig.Digest) crconfig.Push {
	data := b.values[d]
	return crconfig.Push{Parts: []crconfig.Part{{Digest: d, Size: len(data), Data: data}}}
}

// bring hands the puller a whole configuration from one peer.
func (p *puller) bring(t *testing.T, from crid.Daemon, rev crid.Revision, b bundle) {
	t.Helper()
	to, pull := pulled(p.hear(from, crconfig.Have{Conf: rev, Manifest: b.digest()}))
	for range 8 {
		if to == "" {
			break
		}
		to, pull = pulled(p.hear(to, whole(b, pull.Want[0].Digest)))
	}
	if p.Revision() != rev {
		t.Fatalf("has %d, not %d: %+v", p.Revision(), rev, p.Dump())
	}
}

// An answer is held up in the network and arrives, twice, when a newer
// configuration is in force. Taking it would bring a withdrawn key back.
func TestLateDuplicatePushChangesNothing(t *testing.T) {
	p := newPuller("a")
	older, newer := makeBundle(content{Keys: []string{"k"}}), makeBundle(content{})
	p.bring(t, "a", 3, older)
	p.bring(t, "a", 5, newer)
	for range 2 {
		for d := range older.values {
			p.hear("a", whole(older, d))
		}
		p.hear("a", crconfig.Have{Conf: 3, Manifest: older.digest()})
		p.after(tick)
	}
	if p.Revision() != 5 {
		t.Errorf("went to %d", p.Revision())
	}
}

// A peer answers a pull with other bytes, or not at all. The daemon would stay
// behind for as long as it kept to that peer.
func TestBadOrSilentPeerIsLeftForTheNext(t *testing.T) {
	p := newPuller("a", "b", "c")
	b := makeBundle(content{})
	for _, d := range []crid.Daemon{"a", "b", "c"} {
		p.hear(d, crconfig.Have{})
	}
	p.hear("a", crconfig.Have{Conf: 4, Manifest: b.digest()})
	p.hear("b", crconfig.Have{Conf: 4, Manifest: b.digest()})
	first, second := crid.Daemon("a"), crid.Daemon("b")
	raw := slices.Clone(b.raw)
	raw[0] ^= 1
	effects := p.hear(first, crconfig.Push{Parts: []crconfig.Part{{Digest: b.digest(), Size: len(raw), Data: raw}}})
	if !reported(effects, crconfig.NumberBadPush) {
		t.Error("the bad bytes were not reported")
	}
	if to, _ := pulled(effects); to != second {
		t.Fatalf("then pulled from %q", to)
	}
	p.hear("c", crconfig.Have{Conf: 4, Manifest: b.digest()})
	if to, _ := pulled(p.after(2 * time.Second)); to != "c" {
		t.Errorf("after silence pulled from %q", to)
	}
}

// Values are larger than one message. A part that is lost or doubled must not
// spoil the whole.
func TestLargeValueComesInParts(t *testing.T) {
	key := make([]byte, 200_000)
	for i := range key {
		key[i] = 'k'
	}
	b := makeBundle(content{Keys: []string{string(key)}})
	source, sink := newPuller("sink"), newPuller("source")
	source.bring(t, "sink", 7, b)
	_, pull := pulled(sink.hear("source", crconfig.Have{Conf: 7, Manifest: b.digest()}))
	rounds := 0
	for len(pull.Want) > 0 && rounds < 20 {
		rounds++
		answer := source.hear("sink", pull)[0].(crevent.Send).Msg.(crconfig.Push)
		size := 0
		for _, part := range answer.Parts {
			size += len(part.Data)
		}
		if size > quick().PushBytes {
			t.Fatalf("%d bytes in one message", size)
		}
		_, pull = pulled(sink.hear("source", answer))
		sink.hear("source", answer)
	}
	if sink.Revision() != 7 || rounds != 5 {
		t.Errorf("has %d after %d rounds", sink.Revision(), rounds)
	}
}

// Two different manifests appear under one revision. Half of the fleet on each
// would admit and refuse the same key.
func TestTwoManifestsOfOneRevisionAreReported(t *testing.T) {
	p := newPuller("a")
	p.bring(t, "a", 3, makeBundle(content{}))
	other := makeBundle(content{Keys: []string{"x"}})
	if !reported(p.hear("a", crconfig.Have{Conf: 3, Manifest: other.digest()}), crconfig.NumberTwoManifests) {
		t.Error("not reported")
	}
}

// A fresh daemon hears first from the one peer that lags. Were that enough, the
// replacement of a daemon would bring back what had been withdrawn there.
func TestFreshDaemonWaitsForEnoughPeers(t *testing.T) {
	p := newPuller("a", "b", "c", "d")
	p.Step(crmember.Lease{Now: p.now, Members: []crid.Daemon{"a", "b", "c", "d", "e", "f", "self"}, ContactUntil: p.now.Add(lease)})
	older, newer := makeBundle(content{Keys: []string{"k"}}), makeBundle(content{})
	for _, d := range []crid.Daemon{"a", "b"} {
		if to, _ := pulled(p.hear(d, crconfig.Have{Conf: 3, Manifest: older.digest()})); to != "" {
			t.Fatalf("pulled from %s already", to)
		}
	}
	to, pull := pulled(p.hear("c", crconfig.Have{Conf: 5, Manifest: newer.digest()}))
	if to != "c" || pull.Want[0].Digest != newer.digest() {
		t.Errorf("pulled %v from %q", pull, to)
	}
}

// The platform names a configuration that it can not give, while a peer holds
// the one before it, in which a key is withdrawn. The key must stop all the same.
func TestWhatAPeerHoldsComesBeforeWhatThePlatformNames(t *testing.T) {
	p := newPuller("a")
	held, named := makeBundle(content{}), makeBundle(content{Keys: []string{"n"}})
	p.bring(t, "a", 2, makeBundle(content{Keys: []string{"k"}}))
	to, pull := pulled(p.hear("a", crconfig.Have{Conf: 3, Manifest: held.digest()}))
	p.Step(crconfig.WatchResult{Now: p.now, Head: crconfig.Head{Rev: 4, Conf: 4, Manifest: named.digest()}})
	for range 4 {
		if to == "" {
			break
		}
		to, pull = pulled(p.hear(to, whole(held, pull.Want[0].Digest)))
	}
	if p.Revision() != 3 {
		t.Errorf("has %d: %+v", p.Revision(), p.Dump())
	}
}

// A daemon is frozen, and in its queue wait old words of its peers. Meanwhile a
// key is withdrawn. Woken, it has standing within a moment, but would still take
// the key until the next telling; callers could act with it for that time.
func TestWokenDaemonTrustsOnlyFreshAnswers(t *testing.T) {
	p := newPuller("a", "b", "c")
	p.Step(crmember.Lease{Now: p.now, ContactUntil: p.now.Add(lease)})
	p.hear("b", crconfig.Have{})
	p.bring(t, "a", 3, makeBundle(content{Keys: []string{"k"}}))
	if !p.Trusted(p.now) {
		t.Fatalf("not trusted before: %+v", p.Dump())
	}
	p.now = p.now.Add(time.Minute)
	p.Step(crmember.Lease{Now: p.now, ContactUntil: p.now.Add(lease)})
	for _, d := range []crid.Daemon{"a", "b"} {
		p.hear(d, crconfig.Have{Conf: 3, Manifest: makeBundle(content{Keys: []string{"k"}}).digest()})
	}
	if p.Trusted(p.now) {
		t.Error("trusts on answers to an old question")
	}
	p.after(tick)
	newer := makeBundle(content{})
	p.hear("a", crconfig.Have{Conf: 4, Manifest: newer.digest()})
	if p.Trusted(p.now) {
		t.Error("trusts while it knows of a newer configuration")
	}
	p.bring(t, "b", 4, newer)
	if !p.Trusted(p.now) {
		t.Errorf("trust did not come back: %+v", p.Dump())
	}
}
