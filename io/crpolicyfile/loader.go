package crpolicyfile

import (
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"camphorroad/core/crconfig"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// Load is the daemon's own validation: it checks every value against its digest,
// decodes all, applies the rules that the publishing step applied, and indexes
// them. One fault refuses the whole.
func Load(rev crid.Revision, m crconfig.Manifest, values map[string][]byte) (*crpolicy.Snapshot, error) {
	return NewLoader().Load(rev, m, values)
}

// Loader is Load for one configuration after another. It keeps the decoded form
// of the one that it accepted last, and what a value alone decides is not decided
// again while its digest stays. It accepts what Load accepts, and gives the same;
// of several faults it may tell another one. It is owned by one goroutine.
type Loader struct {
	kept     map[string]value // by name
	shards   int              // of accounts
	services []crpolicy.Service
	snapshot *crpolicy.Snapshot
	decoded  int
}

// NewLoader returns a loader that has accepted nothing yet.
func NewLoader() *Loader { return &Loader{} }

// Decoded returns the number of values decoded so far.
func (l *Loader) Decoded() int { return l.decoded }

// value is the checked and decoded form of one published value.
type value struct {
	digest   crconfig.Digest
	data     []byte
	services []crpolicy.Service
	shard    int            // of accounts
	accounts *crpolicy.Part // nil for a value of services
}

// is reports whether this is the value that an entry names and data holds.
func (v value) is(e crconfig.Entry, data []byte) bool {
	return v.digest == e.Digest && len(data) > 0 && len(v.data) == len(data) && &v.data[0] == &data[0]
}

// Load validates and indexes a configuration; see the function Load.
func (l *Loader) Load(rev crid.Revision, m crconfig.Manifest, values map[string][]byte) (*crpolicy.Snapshot, error) {
	mode, err := decoder()
	if err != nil {
		return nil, err
	}
	n := loading{Loader: Loader{kept: make(map[string]value, len(m.Entries))}, former: l, mode: mode}
	for _, e := range m.Entries {
		if err := n.take(e, values[e.Name]); err != nil {
			return nil, err
		}
	}
	n.checkShards(m.Entries)
	n.checkServices(m.Entries)
	if err := n.problems.err(); err != nil {
		return nil, err
	}
	if err := n.assemble(rev); err != nil {
		return nil, err
	}
	n.decoded = l.decoded + n.decoded
	*l = n.Loader
	return l.snapshot, nil
}

// loading is a configuration that is being validated.
type loading struct {
	Loader
	former   *Loader
	mode     cbor.DecMode
	problems Problems
}

// changed reports whether a value differs from the former configuration's.
func (n *loading) changed(name string) bool {
	former, ok := n.former.kept[name]
	return !ok || former.digest != n.kept[name].digest
}

// take finds or decodes one value.
func (n *loading) take(e crconfig.Entry, data []byte) error {
	v, ok := n.former.kept[e.Name]
	if ok && v.is(e, data) && len(data) == e.Size {
		n.kept[e.Name] = v
		return nil
	}
	if len(data) != e.Size || crconfig.DigestOf(data) != e.Digest {
		return oops.Wrapf(ErrValue, "%s is missing or not what the manifest names", e.Name)
	}
	v, err := n.decode(e.Name, data)
	if err != nil {
		return err
	}
	v.digest = e.Digest
	v.data = data
	n.kept[e.Name] = v
	n.decoded++
	return nil
}

func (n *loading) decode(name string, data []byte) (value, error) {
	kind, number, _ := strings.Cut(name, "/")
	switch kind {
	case kindService:
		var v value
		err := n.mode.Unmarshal(data, &v.services)
		return v, badValue(name, err)
	case kindAccount:
		shard, err := strconv.Atoi(number)
		if err != nil || shard < 0 || shard >= crpolicy.MaxParts || shardName(kind, shard) != name {
			return value{}, oops.Wrapf(ErrValue, "%s is no shard of accounts", name)
		}
		return n.decodeAccounts(name, shard, data)
	}
	return value{}, oops.Wrapf(ErrValue, "%s is of an unknown kind", name)
}

func badValue(name string, err error) error {
	if err == nil {
		return nil
	}
	return oops.Wrapf(ErrValue, "%s: %v", name, err)
}

func (n *loading) decodeAccounts(name string, shard int, data []byte) (value, error) {
	var accounts []crpolicy.Account
	if err := n.mode.Unmarshal(data, &accounts); err != nil {
		return value{}, badValue(name, err)
	}
	if len(accounts) >= crpolicy.MaxParts {
		return value{}, oops.Wrapf(ErrValue, "%s holds too many accounts", name)
	}
	check := n.checker(name, newRegistry())
	for i, a := range accounts {
		check.account(fmt.Sprintf("account[%d]", i), a)
	}
	return value{shard: shard, accounts: crpolicy.NewPart(accounts, data)}, nil
}

func (n *loading) checker(name string, seen *registry) checker {
	return checker{at: name, seen: seen, add: func(key, what, hint string) {
		n.problems = append(n.problems, Problem{File: name, Key: key, What: what, Hint: hint})
	}}
}

// checkShards checks that every account is in the shard that its name belongs
// in. An account in two shards would have whichever rate is looked up, and this
// finds it without a look at the other shards.
func (n *loading) checkShards(entries []crconfig.Entry) {
	n.shards = 1
	for _, e := range entries {
		n.shards = max(n.shards, 1<<bits.Len(uint(n.kept[e.Name].shard)))
	}
	for _, e := range entries {
		v := n.kept[e.Name]
		if v.accounts == nil || (n.shards == n.former.shards && !n.changed(e.Name)) {
			continue
		}
		if stray, ok := v.accounts.Misplaced(v.shard, n.shards); ok {
			n.checker(e.Name, nil).add("account", fmt.Sprintf("%s belongs in another value", stray),
				"publish what `camphorroad policy build` made")
		}
	}
}

// checkServices checks all services together where one value of them changed:
// their names and routes must not clash over values.
func (n *loading) checkServices(entries []crconfig.Entry) {
	var services []string
	for _, e := range entries {
		if n.kept[e.Name].accounts == nil {
			services = append(services, e.Name)
		}
	}
	if n.former.snapshot != nil && !slices.ContainsFunc(services, n.changed) && len(services) == n.former.serviceValues() {
		n.services = n.former.services
		return
	}
	seen := newRegistry()
	for _, name := range services {
		check := n.checker(name, seen)
		for _, svc := range n.kept[name].services {
			check.service(svc)
		}
		n.services = append(n.services, n.kept[name].services...)
	}
}

func (l *Loader) serviceValues() int {
	count := 0
	for _, v := range l.kept {
		if v.accounts == nil {
			count++
		}
	}
	return count
}

// assemble indexes the whole, which finds keys that two accounts have.
func (n *loading) assemble(rev crid.Revision) error {
	parts := make([]*crpolicy.Part, n.shards)
	for _, v := range n.kept {
		if v.accounts != nil {
			parts[v.shard] = v.accounts
		}
	}
	snapshot, err := crpolicy.Assemble(n.former.snapshot, rev, n.services, parts)
	var clash *crpolicy.KeyConflict
	if errors.As(err, &clash) {
		n.checker(shardName(kindAccount, clash.Part), nil).add("account.keys", clash.Error(), hintClash)
		return n.problems.err()
	}
	n.snapshot = snapshot
	return err
}
