package crpolicyfile_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crpolicyfile"
)

// manyAccounts returns n accounts with one key each.
func manyAccounts(n int) crpolicyfile.Policy {
	var p crpolicyfile.Policy
	for i := range n {
		name := fmt.Sprintf("account-%06d", i)
		p.Accounts = append(p.Accounts, crpolicy.Account{
			Name: crid.Account(name), Rate: 1, Burst: 1, Keys: []crpolicy.KeyHash{crpolicy.HashKey(name)},
		})
	}
	return p
}

// publisher packs policies. It returns a value with an unchanged digest as the same
// slice, as in a daemon, which keeps unchanged values.
type publisher struct {
	published map[crconfig.Digest][]byte
}

func (p *publisher) publish(t testing.TB, policy crpolicyfile.Policy) (crconfig.Manifest, map[string][]byte) {
	t.Helper()
	bundle, err := crpolicyfile.Pack(policy)
	if err != nil {
		t.Fatal(err)
	}
	m, values := unpackBundle(t, bundle)
	published := make(map[crconfig.Digest][]byte)
	for name, data := range values {
		digest := crconfig.DigestOf(data)
		if previous, ok := p.published[digest]; ok {
			values[name] = previous
		}
		published[digest] = values[name]
	}
	p.published = published
	return m, values
}

// The rate of one account changes. If all values were decoded again, a fleet with 410,000
// accounts would stall its control plane for over a second at each of 11,000 changes a day.
func TestChangeOfOneAccountDecodesOneValue(t *testing.T) {
	policy := manyAccounts(2_000)
	var pub publisher
	l := crpolicyfile.NewLoader()
	for i, want := range []int{4, 1, 0} {
		policy.Accounts[7].Rate = float64(1 + min(i, 1))
		m, values := pub.publish(t, policy)
		before := l.Decoded()
		snap, err := l.Load(crid.Revision(i+1), m, values)
		if err != nil {
			t.Fatal(err)
		}
		if got := l.Decoded() - before; got != want || len(values) != 4 {
			t.Errorf("change %d decoded %d of %d values, want %d of 4", i, got, len(values), want)
		}
		if a, _ := snap.Account(policy.Accounts[7].Name); a.Rate != policy.Accounts[7].Rate {
			t.Errorf("rate %v after change %d", a.Rate, i)
		}
	}
}

// Accounts and keys are added, removed and moved, sometimes into conflicts. With a stale
// cache, a withdrawn key stays valid, a new one is rejected, or two accounts share one.
func TestCachedLoadEqualsUncachedLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	policy := manyAccounts(700)
	policy.Services = []crpolicy.Service{validService("booking", "/b"), validService("dispatch", "/d")}
	var pub publisher
	l := crpolicyfile.NewLoader()
	rejected := 0
	for rev := crid.Revision(1); rev <= 40; rev++ {
		next := crpolicyfile.Policy{Services: slices.Clone(policy.Services), Accounts: slices.Clone(policy.Accounts)}
		edit(rng, &next, int(rev))
		m, values := pub.publish(t, next)
		got, gotErr := l.Load(rev, m, values)
		want, wantErr := crpolicyfile.Load(rev, m, values)
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("revision %d: %v, without the cache: %v", rev, gotErr, wantErr)
		}
		if gotErr != nil {
			rejected++
			continue
		}
		compareSnapshots(t, rev, got, want, policy, next)
		policy = next
	}
	if rejected < 5 || rejected > 30 {
		t.Errorf("%d of 40 were rejected, so either acceptance or rejection was hardly tested", rejected)
	}
}

func validService(name crid.Service, prefix string) crpolicy.Service {
	return crpolicy.Service{Name: name, Slots: 1, Connections: 1, Routes: []crpolicy.Route{
		{Name: "all", Prefix: prefix, Class: crpolicy.ClassOnce, Timeout: 1e9},
	}}
}

// edit makes one random change of the kinds that operators make. A new key is derived
// from keySeed.
func edit(rng *rand.Rand, p *crpolicyfile.Policy, keySeed int) {
	i, j := rng.IntN(len(p.Accounts)), rng.IntN(len(p.Accounts))
	a, b := &p.Accounts[i], p.Accounts[j]
	switch rng.IntN(7) {
	case 0: // the keys are withdrawn
		a.Keys = nil
	case 1: // another key is issued
		a.Keys = append(slices.Clone(a.Keys), crpolicy.HashKey(fmt.Sprint("new", keySeed)))
	case 2: // the keys of another account are added
		a.Keys = append(slices.Clone(a.Keys), b.Keys...)
	case 3: // two accounts swap their keys
		a.Keys, p.Accounts[j].Keys = b.Keys, a.Keys
	case 4: // the account is removed
		p.Accounts = slices.Delete(p.Accounts, i, i+1)
	case 5: // many accounts are added, so that the number of values may change
		more := manyAccounts(1_200).Accounts[len(p.Accounts):]
		p.Accounts = append(p.Accounts, more[:min(len(more), 150)]...)
	case 6: // a service changes, and may conflict with the other
		p.Services[0].Routes[0].Prefix = []string{"/b", "/c", "/d"}[rng.IntN(3)]
	}
}

func compareSnapshots(t *testing.T, rev crid.Revision, got, want *crpolicy.Snapshot, previous, next crpolicyfile.Policy) {
	t.Helper()
	if got.Revision() != rev || !reflect.DeepEqual(got.Services(), want.Services()) || !reflect.DeepEqual(got.Accounts(), want.Accounts()) {
		t.Fatalf("revision %d differs from a load without the cache", rev)
	}
	for _, a := range slices.Concat(previous.Accounts, next.Accounts) {
		for _, k := range a.Keys {
			g, gok := got.AccountByKey(k)
			w, wok := want.AccountByKey(k)
			if gok != wok || g.Name != w.Name {
				t.Fatalf("revision %d: a key of %s belongs to %q, without the cache to %q", rev, a.Name, g.Name, w.Name)
			}
		}
	}
	for _, a := range next.Accounts {
		for _, k := range a.Keys {
			if g, _ := got.AccountByKey(k); g.Name != a.Name {
				t.Fatalf("revision %d: the key of %s belongs to %q", rev, a.Name, g.Name)
			}
		}
	}
}

// A publisher other than `camphorroad policy build` puts an account into two values. Some
// daemons could apply one of the two rates, and some the other.
func TestAccountInTwoValuesIsRejected(t *testing.T) {
	var pub publisher
	_, values := pub.publish(t, manyAccounts(700))
	var m crconfig.Manifest
	for _, name := range []string{"account/0000", "account/0001"} {
		data := values["account/0000"]
		m.Entries = append(m.Entries, crconfig.Entry{Name: name, Digest: crconfig.DigestOf(data), Size: len(data)})
		values[name] = data
	}
	if _, err := crpolicyfile.Load(1, m, values); err == nil {
		t.Error("accepted")
	}
}
