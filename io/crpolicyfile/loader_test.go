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

// manyAccounts makes accounts with one key each.
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

// publisher packs policies, and hands out values with an unchanged digest as the
// same bytes, as a daemon holds them.
type publisher struct {
	held map[crconfig.Digest][]byte
}

func (p *publisher) publish(t testing.TB, policy crpolicyfile.Policy) (crconfig.Manifest, map[string][]byte) {
	t.Helper()
	bundle, err := crpolicyfile.Pack(policy)
	if err != nil {
		t.Fatal(err)
	}
	m, values := loadable(t, bundle)
	held := make(map[crconfig.Digest][]byte)
	for name, data := range values {
		digest := crconfig.DigestOf(data)
		if former, ok := p.held[digest]; ok {
			values[name] = former
		}
		held[digest] = values[name]
	}
	p.held = held
	return m, values
}

// One account of many gets another rate. Were all values decoded again, a fleet
// of 410,000 accounts would stop its control for more than a second at each of
// 11,000 changes a day.
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

// Accounts and keys come, go and move, also to where they clash. If what is kept
// from the former configuration showed through, a withdrawn key would go on, a
// new one would be refused, or two accounts would share one.
func TestKeptFormGivesWhatAFreshLoadGives(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	policy := manyAccounts(700)
	policy.Services = []crpolicy.Service{validService("booking", "/b"), validService("dispatch", "/d")}
	var pub publisher
	l := crpolicyfile.NewLoader()
	refused := 0
	for rev := crid.Revision(1); rev <= 40; rev++ {
		next := crpolicyfile.Policy{Services: slices.Clone(policy.Services), Accounts: slices.Clone(policy.Accounts)}
		edit(rng, &next, int(rev))
		m, values := pub.publish(t, next)
		got, gotErr := l.Load(rev, m, values)
		want, wantErr := crpolicyfile.Load(rev, m, values)
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("revision %d: %v, a fresh load: %v", rev, gotErr, wantErr)
		}
		if gotErr != nil {
			refused++
			continue
		}
		compare(t, rev, got, want, policy, next)
		policy = next
	}
	if refused < 5 || refused > 30 {
		t.Errorf("%d of 40 were refused, so one of the two was hardly tried", refused)
	}
}

func validService(name crid.Service, prefix string) crpolicy.Service {
	return crpolicy.Service{Name: name, Slots: 1, Connections: 1, Routes: []crpolicy.Route{
		{Name: "all", Prefix: prefix, Class: crpolicy.ClassOnce, Timeout: 1e9},
	}}
}

// edit changes a policy in one of the ways that operators do.
func edit(rng *rand.Rand, p *crpolicyfile.Policy, mark int) {
	i, j := rng.IntN(len(p.Accounts)), rng.IntN(len(p.Accounts))
	a, b := &p.Accounts[i], p.Accounts[j]
	switch rng.IntN(7) {
	case 0: // the key is withdrawn
		a.Keys = nil
	case 1: // another one is issued
		a.Keys = append(slices.Clone(a.Keys), crpolicy.HashKey(fmt.Sprint("new", mark)))
	case 2: // the key of another account is given too
		a.Keys = append(slices.Clone(a.Keys), b.Keys...)
	case 3: // keys change hands
		a.Keys, p.Accounts[j].Keys = b.Keys, a.Keys
	case 4: // the account ends
		p.Accounts = slices.Delete(p.Accounts, i, i+1)
	case 5: // many come, so that the number of values may change
		more := manyAccounts(1_200).Accounts[len(p.Accounts):]
		p.Accounts = append(p.Accounts, more[:min(len(more), 150)]...)
	case 6: // a service changes, and may clash with the other
		p.Services[0].Routes[0].Prefix = []string{"/b", "/c", "/d"}[rng.IntN(3)]
	}
}

func compare(t *testing.T, rev crid.Revision, got, want *crpolicy.Snapshot, former, next crpolicyfile.Policy) {
	t.Helper()
	if got.Revision() != rev || !reflect.DeepEqual(got.Services(), want.Services()) || !reflect.DeepEqual(got.Accounts(), want.Accounts()) {
		t.Fatalf("revision %d differs from a fresh load", rev)
	}
	for _, a := range slices.Concat(former.Accounts, next.Accounts) {
		for _, k := range a.Keys {
			g, gok := got.AccountByKey(k)
			w, wok := want.AccountByKey(k)
			if gok != wok || g.Name != w.Name {
				t.Fatalf("revision %d: a key of %s finds %q, by a fresh load %q", rev, a.Name, g.Name, w.Name)
			}
		}
	}
	for _, a := range next.Accounts {
		for _, k := range a.Keys {
			if g, _ := got.AccountByKey(k); g.Name != a.Name {
				t.Fatalf("revision %d: the key of %s finds %q", rev, a.Name, g.Name)
			}
		}
	}
}

// A publisher other than ours puts an account into a second value. Both rates
// could be in force, each at some daemons.
func TestAccountInTwoValuesIsRefused(t *testing.T) {
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
