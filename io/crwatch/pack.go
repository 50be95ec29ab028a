package crwatch

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"camphorroad/core/crid"
)

const (
	// packFrom is the size of a value from which on it travels packed between
	// daemons: a configuration of 1,400 routes is half a megabyte, of which a
	// link of 10 Mbit/s carries two a second, and a reader serves a dozen
	// daemons. Packed it is a tenth. Records are far smaller.
	packFrom = 4 << 10
	// maxUnpacked bounds what a packed value may become.
	maxUnpacked = 16 << 20
)

// errUnpacked tells of a packed value that is too large.
var errUnpacked = errors.New("the value is too large")

// packed is the packed form of a value, kept for the next peer that asks.
type packed struct {
	revision crid.Revision
	value    []byte
}

// pack returns items as they travel. The caller holds the lock.
func (f *Follower) pack(items []Item) []Item {
	for n, i := range items {
		if len(i.Value) < packFrom {
			continue
		}
		items[n].Value, items[n].Compressed = f.packedValue(i), true
	}
	return items
}

func (f *Follower) packedValue(i Item) []byte {
	if p, ok := f.packs[i.Key]; ok && p.revision == i.Revision {
		return p.value
	}
	var b bytes.Buffer
	// A bytes.Buffer takes every write, and the level is a valid one.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(i.Value)
	_ = w.Close()
	f.packs[i.Key] = packed{revision: i.Revision, value: b.Bytes()}
	return b.Bytes()
}

// Decompress returns items as the store told them.
func Decompress(items []Item) ([]Item, error) {
	for n, i := range items {
		if !i.Compressed {
			continue
		}
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(i.Value)), maxUnpacked+1))
		if err == nil && len(value) > maxUnpacked {
			err = errUnpacked
		}
		if err != nil {
			return nil, fmt.Errorf("unpack %s: %w", i.Key, err)
		}
		items[n].Value, items[n].Compressed = value, false
	}
	return items, nil
}
