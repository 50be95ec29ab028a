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

// Load validates a published configuration in the daemon: it checks every value against
// its digest, decodes it, applies the rules of [Build], and indexes the result. A single
// problem rejects the whole configuration.
func Load(rev crid.Revision, m crconfig.Manifest, values map[string][]byte) (*crpolicy.Snapshot, error) {
	return NewLoader().Load(rev, m, values)
}

// Loader loads successive configurations. It caches the decoded values of the last one
// that it accepted. A value that is unchanged is neither decoded again nor validated
// again on its own. A Loader accepts what [Load] accepts, with the same result, but it
// may report a different problem if there are several. It must be used by one goroutine
// only.
type Loader struct {
	cached   map[string]value // by name
	shards   int              // number of account shards
	services []crpolicy.Service
	snapshot *crpolicy.Snapshot
	decoded  int // number of values
}

// NewLoader returns a loader that has accepted nothing yet.
func NewLoader() *Loader { return &Loader{} }

// Decoded returns the number of values decoded so far.
func (l *Loader) Decoded() int { return l.decoded }

// value is one published value, checked and decoded.
type value struct {
	digest   crconfig.Digest
	data     []byte
	services []crpolicy.Service
	shard    int            // index of the account shard
	accounts *crpolicy.Part // nil for a value of services
}

// matches reports whether this is the value of an entry, decoded from the same slice.
func (v value) matches(e crconfig.Entry, data []byte) bool {
	return v.digest == e.Digest && len(data) > 0 && len(v.data) == len(data) && &v.data[0] == &data[0]
}

// Load validates and indexes a configuration like the function [Load].
func (l *Loader) Load(rev crid.Revision, m crconfig.Manifest, values map[string][]byte) (*crpolicy.Snapshot, error) {
	mode, err := decoder()
	if err != nil {
		return nil, err
	}
	n := pendingLoad{Loader: Loader{cached: make(map[string]value, len(m.Entries))}, previous: l, mode: mode}
	for _, e := range m.Entries {
		if err := n.loadValue(e, values[e.Name]); err != nil {
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

// pendingLoad is the state of a Loader for a configuration that is being validated. It
// replaces the previous state if the configuration is accepted.
type pendingLoad struct {
	Loader
	previous *Loader
	mode     cbor.DecMode
	problems Problems
}

// changed reports whether a value differs from the previous configuration's.
func (n *pendingLoad) changed(name string) bool {
	previous, ok := n.previous.cached[name]
	return !ok || previous.digest != n.cached[name].digest
}

// loadValue takes one value from the cache, or checks and decodes it.
func (n *pendingLoad) loadValue(e crconfig.Entry, data []byte) error {
	v, ok := n.previous.cached[e.Name]
	if ok && v.matches(e, data) && len(data) == e.Size {
		n.cached[e.Name] = v
		return nil
	}
	if len(data) != e.Size || crconfig.DigestOf(data) != e.Digest {
		return oops.Wrapf(ErrValue, "%s is missing, or differs from its size or digest in the manifest", e.Name)
	}
	v, err := n.decode(e.Name, data)
	if err != nil {
		return err
	}
	v.digest = e.Digest
	v.data = data
	n.cached[e.Name] = v
	n.decoded++
	return nil
}

func (n *pendingLoad) decode(name string, data []byte) (value, error) {
	kind, number, _ := strings.Cut(name, "/")
	switch kind {
	case kindService:
		var v value
		err := n.mode.Unmarshal(data, &v.services)
		return v, badValue(name, err)
	case kindAccount:
		shard, err := strconv.Atoi(number)
		if err != nil || shard < 0 || shard >= crpolicy.MaxParts || shardName(kind, shard) != name {
			return value{}, oops.Wrapf(ErrValue, "%s is not a valid name of an account shard", name)
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

func (n *pendingLoad) decodeAccounts(name string, shard int, data []byte) (value, error) {
	var accounts []crpolicy.Account
	if err := n.mode.Unmarshal(data, &accounts); err != nil {
		return value{}, badValue(name, err)
	}
	if len(accounts) >= crpolicy.MaxParts {
		return value{}, oops.Wrapf(ErrValue, "%s contains too many accounts", name)
	}
	check := n.newChecker(name, newRegistry())
	for i, a := range accounts {
		check.checkAccount(fmt.Sprintf("account[%d]", i), a)
	}
	return value{shard: shard, accounts: crpolicy.NewPart(accounts, data)}, nil
}

func (n *pendingLoad) newChecker(name string, seen *registry) checker {
	return checker{source: name, seen: seen, addProblem: func(key, what, hint string) {
		n.problems = append(n.problems, Problem{File: name, Key: key, What: what, Hint: hint})
	}}
}

// checkShards checks that every account is in the shard that the hash of its name
// selects. This detects an account in two shards, which would have two rates, without a
// search of the other shards.
func (n *pendingLoad) checkShards(entries []crconfig.Entry) {
	n.shards = 1
	for _, e := range entries {
		n.shards = max(n.shards, 1<<bits.Len(uint(n.cached[e.Name].shard)))
	}
	for _, e := range entries {
		v := n.cached[e.Name]
		if v.accounts == nil || (n.shards == n.previous.shards && !n.changed(e.Name)) {
			continue
		}
		if misplaced, ok := v.accounts.Misplaced(v.shard, n.shards); ok {
			n.newChecker(e.Name, nil).addProblem("account", fmt.Sprintf("%s belongs in another value", misplaced),
				"publish the output of `camphorroad policy build`")
		}
	}
}

// checkServices checks all services together if one of their values changed: their
// names and routes must not conflict between values.
func (n *pendingLoad) checkServices(entries []crconfig.Entry) {
	var services []string
	for _, e := range entries {
		if n.cached[e.Name].accounts == nil {
			services = append(services, e.Name)
		}
	}
	if n.previous.snapshot != nil && !slices.ContainsFunc(services, n.changed) && len(services) == n.previous.serviceValues() {
		n.services = n.previous.services
		return
	}
	seen := newRegistry()
	for _, name := range services {
		check := n.newChecker(name, seen)
		for _, svc := range n.cached[name].services {
			check.checkService(svc)
		}
		n.services = append(n.services, n.cached[name].services...)
	}
}

func (l *Loader) serviceValues() int {
	count := 0
	for _, v := range l.cached {
		if v.accounts == nil {
			count++
		}
	}
	return count
}

// assemble indexes the configuration, which detects keys that two accounts have.
func (n *pendingLoad) assemble(rev crid.Revision) error {
	parts := make([]*crpolicy.Part, n.shards)
	for _, v := range n.cached {
		if v.accounts != nil {
			parts[v.shard] = v.accounts
		}
	}
	snapshot, err := crpolicy.Assemble(n.previous.snapshot, rev, n.services, parts)
	var conflict *crpolicy.KeyConflict
	if errors.As(err, &conflict) {
		n.newChecker(shardName(kindAccount, conflict.Part), nil).addProblem("account.keys", conflict.Error(), hintKeyConflict)
		return n.problems.err()
	}
	n.snapshot = snapshot
	return err
}
