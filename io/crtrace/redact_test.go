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

// Traces are copied to other machines for debugging. The hash of a key would let a
// reader test guesses of the key, so no published value is recorded.
func TestTraceContainsNoKeyHash(t *testing.T) {
	hash := crpolicy.HashKey("crk_secret")
	value := append(bytes.Repeat([]byte("padding "), 8), hash[:]...)
	digest := crconfig.DigestOf(value)
	var file memoryFile
	rec, err := newRecorder(&file, Options{Params: crdaemon.DefaultParams(), MaxBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	account := crpolicy.Account{Name: "survey", Rate: 5, Keys: []crpolicy.KeyHash{hash}}
	parse := rec.WrapParser(func([]byte) (crconfig.Manifest, error) { return crconfig.Manifest{}, nil })
	load := rec.WrapLoader(func(rev crid.Revision, _ crconfig.Manifest, _ map[string][]byte) (*crpolicy.Snapshot, error) {
		return crpolicy.NewSnapshot(rev, nil, []crpolicy.Account{account}), nil
	})
	half := len(value) - 16 // splits the hash between two parts
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
		_, _ = load(1, crconfig.Manifest{}, nil)
		rec.Effects(nil)
	}
	if err := rec.Close(); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(file.Bytes(), []byte("survey")) {
		t.Error("the account's limits are not recorded")
	}
	if bytes.Contains(file.Bytes(), hash[:8]) || bytes.Contains(file.Bytes(), hash[16:]) {
		t.Error("the trace contains a hash or half of one")
	}
}

// The placeholders of the parts of a value must join to a placeholder of the whole
// value, from which its digest can be read.
func TestPlaceholderContainsDigest(t *testing.T) {
	value := bytes.Repeat([]byte("value "), 20)
	digest := crconfig.DigestOf(value)
	var whole []byte
	for _, cut := range [][2]int{{0, 7}, {7, 50}, {50, len(value)}} {
		part, err := redactPart(digest, cut[0], len(value), value[cut[0]:cut[1]]).placeholder()
		if err != nil {
			t.Fatal(err)
		}
		whole = append(whole, part...)
	}
	if len(whole) != len(value) || digestOf(whole) != digest {
		t.Error("the placeholder does not have the size and digest of the value")
	}
}
