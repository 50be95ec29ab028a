// Package crtrace records the control events of a daemon, and replays them.
//
// A trace is a file: a first line that names the format, then records, each a
// length and a CBOR array of a kind and a body. After the header with the
// parameters come, for each event, the event itself, what the parser and the
// loader of configurations gave for it, and a digest of its effects. The seed
// is in the first event. Replay runs the real reducers over the events and
// compares the digests.
//
// A trace holds no key and no hash of a key: published values are recorded by
// digest and size only, and a loaded configuration without its accounts' keys.
// What is left out has no part in decisions, so the replay is exact all the
// same, on the processor architecture that the trace was recorded on. One thing
// is not reproduced: a value that a peer altered and that came in several parts.
//
// # Usage
//
//	rec, err := crtrace.Create("daemon.trace", crtrace.Options{Params: params, Size: 64 << 20})
//	root := crdaemon.NewReducers(params, rec.Parse(parse), rec.Load(load)).Root
//	rec.Event(ev)
//	rec.Effects(root.Step(ev))
//
//	report, err := crtrace.Replay(file)
package crtrace

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crdaemon"
)

// magic is the first line of a trace; its number grows with the format.
const magic = "camphorroad trace 1\n"

// maxRecord bounds one record, in bytes.
const maxRecord = 64 << 20

// Errors of this layer. All come within an [Error] that tells where.
var (
	// ErrFormat tells that the file is no trace, or of another format.
	ErrFormat = errors.New("not a trace of this format")
	// ErrTruncated tells that the file ends within a record, as that of a
	// daemon that was killed does.
	ErrTruncated = errors.New("trace ends within a record")
	// ErrInvalidRecord tells of a record that can not be read.
	ErrInvalidRecord = errors.New("bad record")
)

// Error is an error with the offset, in bytes, of the record it is in.
type Error struct {
	offset int64
	err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("at byte %d: %v", e.offset, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Offset is where the record begins.
func (e *Error) Offset() int64 { return e.offset }

// The kinds of records that are no events.
const (
	kindHeader = "params"
	kindParse  = "parse"
	kindLoad   = "load"
	kindDone   = "done"
)

// record is one entry of a trace.
type record struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body cbor.RawMessage
}

// header is the first record.
type header struct {
	Params crdaemon.Params `cbor:"p"`
}

// done closes an event.
type done struct {
	Effects int    `cbor:"n"`
	Sum     uint64 `cbor:"s"` // of the effects, in order
}

func encode(kind string, body any) ([]byte, error) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%w: encode %s: %w", ErrInvalidRecord, kind, err)
	}
	rec, err := cbor.Marshal(record{Kind: kind, Body: b})
	if err != nil {
		return nil, fmt.Errorf("%w: encode %s: %w", ErrInvalidRecord, kind, err)
	}
	return append(binary.AppendUvarint(nil, uint64(len(rec))), rec...), nil
}

func (r record) decode(v any) error {
	if err := cbor.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalidRecord, r.Kind, err)
	}
	return nil
}

// reader reads the records of a trace.
type reader struct {
	r      *bufio.Reader
	offset int64 // of the record read last
	next   int64
}

// newReader checks the first line.
func newReader(src io.Reader) (*reader, error) {
	r := &reader{r: bufio.NewReader(src), next: int64(len(magic))}
	line := make([]byte, len(magic))
	if _, err := io.ReadFull(r.r, line); err != nil || string(line) != magic {
		return nil, r.fail(ErrFormat)
	}
	return r, nil
}

func (r *reader) fail(err error) error { return &Error{offset: r.offset, err: err} }

// read returns the next record; io.EOF, unwrapped, tells of an orderly end.
func (r *reader) read() (record, error) {
	r.offset = r.next
	n, err := binary.ReadUvarint(r.r)
	switch {
	case errors.Is(err, io.EOF):
		return record{}, io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		return record{}, r.fail(ErrTruncated)
	case err != nil || n > maxRecord:
		return record{}, r.fail(fmt.Errorf("%w: its length can not be right", ErrInvalidRecord))
	}
	// The length may be wrong: memory grows with what is really there.
	var b bytes.Buffer
	got, err := io.CopyN(&b, r.r, int64(n))
	if errors.Is(err, io.EOF) {
		return record{}, r.fail(ErrTruncated)
	}
	if err != nil {
		return record{}, r.fail(err)
	}
	r.next += int64(len(binary.AppendUvarint(nil, n))) + got
	var rec record
	if err := cbor.Unmarshal(b.Bytes(), &rec); err != nil {
		return record{}, r.fail(fmt.Errorf("%w: %w", ErrInvalidRecord, err))
	}
	return rec, nil
}
