package crwatch

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crid"
)

const (
	// minCompressBytes is the size from which a value is compressed for transfer
	// between daemons. A configuration of 1,400 routes takes half a megabyte. A link of
	// 10 Mbit/s transfers two of them per second, and a reader serves a dozen daemons.
	// Compressed, it takes a tenth of that. Records are far smaller.
	minCompressBytes = 4 << 10
	// maxDecompressedBytes bounds the size of a decompressed value.
	maxDecompressedBytes = 16 << 20
)

// errDecompressedSize means that a value exceeds maxDecompressedBytes.
var errDecompressedSize = errors.New("the value is too large")

// compressedValue caches the compressed form of a value for the next peer that requests it.
type compressedValue struct {
	revision crid.Revision
	value    []byte
}

// compress compresses large values in place. The caller holds the lock.
func (f *Follower) compress(items []Item) []Item {
	for n, i := range items {
		if len(i.Value) < minCompressBytes {
			continue
		}
		items[n].Value, items[n].Compressed = f.compressValue(i), true
	}
	return items
}

func (f *Follower) compressValue(i Item) []byte {
	if c, ok := f.compressed[i.Key]; ok && c.revision == i.Revision {
		return c.value
	}
	value := compress(i.Value)
	f.compressed[i.Key] = compressedValue{revision: i.Revision, value: value}
	return value
}

func compress(data []byte) []byte {
	var b bytes.Buffer
	// A bytes.Buffer accepts every write, and the level is a valid one.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

func decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecompressedBytes+1))
	if err == nil && len(out) > maxDecompressedBytes {
		err = errDecompressedSize
	}
	return out, err
}

// Pack encodes and compresses a list of items as a whole. Records are small and alike, so
// that a list of hundreds shrinks to a fraction, and each by itself does not.
func Pack(items []Item) ([]byte, error) {
	data, err := cbor.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("pack %d items: %w", len(items), err)
	}
	return compress(data), nil
}

// Unpack is the inverse of Pack, and decompresses the values of the items.
func Unpack(packed []byte) ([]Item, error) {
	data, err := decompress(packed)
	if err != nil {
		return nil, fmt.Errorf("unpack a list of items: %w", err)
	}
	var items []Item
	if err := cbor.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("unpack a list of items: %w", err)
	}
	return Decompress(items)
}

// Decompress decompresses the compressed values of items in place.
func Decompress(items []Item) ([]Item, error) {
	for n, i := range items {
		if !i.Compressed {
			continue
		}
		value, err := decompress(i.Value)
		if err != nil {
			return nil, fmt.Errorf("decompress %s: %w", i.Key, err)
		}
		items[n].Value, items[n].Compressed = value, false
	}
	return items, nil
}
