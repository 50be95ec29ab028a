package crtrace

import (
	"bytes"
	"testing"

	"camphorroad/core/crconfig"
	"camphorroad/core/crdaemon"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// A trace is copied to wherever a fault is looked into. The hash of a key in it
// would let whoever reads it test guesses, so no published value is recorded.
func TestTraceHoldsNoHashOfAKey(t *testing.T) {
	hash := crpolicy.HashKey("crk_secret")
	value := append(bytes.Repeat([]byte("filling "), 8), hash[:]...)
	digest := crconfig.DigestOf(value)
	var file memory
	rec, err := newRecorder(&file, Options{Params: crdaemon.DefaultParams(), MaxBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	account := crpolicy.Account{Name: "survey", Rate: 5, Keys: []crpolicy.KeyHash{hash}}
	parse := rec.WrapParser(func([]byte) (crconfig.Manifest, error) { return crconfig.Manifest{}, nil })
	get := rec.WrapLoader(func(rev crid.Revision, _ crconfig.Manifest, _ map[string][]byte) (*crpolicy.Snapshot, error) {
		return crpolicy.NewSnapshot(rev, nil, []crpolicy.Account{account}), nil
	})
	half := len(value) - 16 // the hash is cut in two
	events := []crevent.Event{
		crconfig.ReadResult{Now: 1, Digest: digest, Data: value},
		crconfig.ReadResult{Now: 1, Digest: crconfig.Digest{1}, Data: value},
		crevent.Received{Now: 2, From: "b", Msg: crconfig.Push{Parts: []crconfig.Part{
			{Digest: digest, Size: len(value), Data: value[:half]},
			{Digest: digest, Offset: half, Size: len(value), Data: value[half:]},
		}}},
	}
	for _, ev := range events {
		rec.Event(ev)
		_, _ = parse(value)
		_, _ = get(1, crconfig.Manifest{}, nil)
		rec.Effects(nil)
	}
	if err := rec.Close(); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(file.Bytes(), []byte("survey")) {
		t.Error("the account's limits are not recorded")
	}
	if bytes.Contains(file.Bytes(), hash[:8]) || bytes.Contains(file.Bytes(), hash[16:]) {
		t.Error("the trace holds a hash, or half of it")
	}
}

// The parts of a filler fit together, and tell the digest of the value.
func TestFillerTellsItsDigest(t *testing.T) {
	value := bytes.Repeat([]byte("value "), 20)
	digest := crconfig.DigestOf(value)
	var whole []byte
	for _, cut := range [][2]int{{0, 7}, {7, 50}, {50, len(value)}} {
		part, err := redact(digest, cut[0], len(value), value[cut[0]:cut[1]]).data()
		if err != nil {
			t.Fatal(err)
		}
		whole = append(whole, part...)
	}
	if len(whole) != len(value) || digestOf(whole) != digest {
		t.Error("the filler does not stand for the value")
	}
}
