package crpolicyfile

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"camphorroad/core/crconfig"
	"camphorroad/core/crpolicy"
)

// shardBytes is the preferred size of a value. A change makes every daemon fetch
// one value and the manifest, so both should be small. With S bytes per value,
// T bytes in total and 60 bytes per entry of the manifest, a change costs
// S + 60·T/S bytes. The minimum is at S = sqrt(60·T), 45 KB for the 33 MB of
// 410,000 accounts.
const shardBytes = 32 << 10

// The kinds of values. The name of a value begins with its kind.
const (
	kindService = "service"
	kindAccount = "account"
)

func shardName(kind string, i int) string { return fmt.Sprintf("%s/%04d", kind, i) }

// Value is one named value to publish.
type Value struct {
	Name string
	Data []byte
}

// Bundle is what the platform publishes as one configuration: the manifest and the
// values. Its bytes depend on the policies alone, not on the order of the files.
type Bundle struct {
	manifest []byte
	values   []Value
}

// Manifest returns the bytes of the manifest, which names all values.
func (b Bundle) Manifest() []byte { return slices.Clone(b.manifest) }

// Digest returns the digest of the manifest, which identifies the whole bundle.
func (b Bundle) Digest() crconfig.Digest { return crconfig.DigestOf(b.manifest) }

// Values returns the values, sorted by name.
func (b Bundle) Values() []Value { return slices.Clone(b.values) }

// Build reads, validates and packs all policy files. The error is of type [Problems]
// if the files are invalid.
func Build(files []File) (Bundle, error) {
	policy, err := Read(files)
	if err != nil {
		return Bundle{}, err
	}
	return Pack(policy)
}

// Pack encodes a validated policy into values.
func Pack(p Policy) (Bundle, error) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return Bundle{}, oops.Wrapf(err, "set up the encoder")
	}
	services, err := packShards(mode, kindService, p.Services, func(s crpolicy.Service) string { return string(s.Name) })
	if err != nil {
		return Bundle{}, err
	}
	accounts, err := packShards(mode, kindAccount, p.Accounts, func(a crpolicy.Account) string { return string(a.Name) })
	if err != nil {
		return Bundle{}, err
	}
	b := Bundle{values: slices.Concat(accounts, services)}
	var m crconfig.Manifest
	for _, v := range b.values {
		m.Entries = append(m.Entries, crconfig.Entry{Name: v.Name, Digest: crconfig.DigestOf(v.Data), Size: len(v.Data)})
	}
	if b.manifest, err = mode.Marshal(m); err != nil {
		return Bundle{}, oops.Wrapf(err, "encode the manifest")
	}
	if len(b.manifest) >= crconfig.MaxValueSize {
		return Bundle{}, oops.Errorf("the manifest has %d bytes; the platform accepts fewer than %d", len(b.manifest), crconfig.MaxValueSize)
	}
	return b, nil
}

// packShards distributes items by the hash of their names over a number of values, so
// that a change of one item changes one value. The number is a power of two.
func packShards[T any](mode cbor.EncMode, kind string, items []T, name func(T) string) ([]Value, error) {
	if len(items) == 0 {
		return nil, nil
	}
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	all, err := mode.Marshal(sorted)
	if err != nil {
		return nil, oops.Wrapf(err, "encode the %ss", kind)
	}
	count := 1
	for count*shardBytes < len(all) {
		count *= 2
	}
	shards := make([][]T, count)
	for _, item := range sorted {
		i := crpolicy.Shard(name(item), count)
		shards[i] = append(shards[i], item)
	}
	return encodeShards(mode, kind, shards)
}

func encodeShards[T any](mode cbor.EncMode, kind string, shards [][]T) ([]Value, error) {
	var values []Value
	for i, shard := range shards {
		if len(shard) == 0 {
			continue
		}
		data, err := mode.Marshal(shard)
		if err != nil {
			return nil, oops.Wrapf(err, "encode a shard of %ss", kind)
		}
		if len(data) >= crconfig.MaxValueSize {
			return nil, oops.Errorf("%s shard %d has %d bytes; the platform accepts fewer than %d", kind, i, len(data), crconfig.MaxValueSize)
		}
		values = append(values, Value{Name: shardName(kind, i), Data: data})
	}
	return values, nil
}
