// Package crtrace records the control events of a daemon and replays them.
//
// io/crdaemon records a trace if the settings name a file, and the command "trace"
// replays and prints traces. A trace contains the inputs of the reducers; it is not
// a log (io/crlog) and does not follow single requests.
//
// A trace file starts with a line that names the format. Records follow, each of a
// length and a CBOR array of a kind and a body. The first record is the header with
// the parameters. Each event then has a record of the event itself, records of the
// results of the configuration parser and loader, and a record with the digest of
// its effects. The first event contains the random seed. Replay runs the production
// reducers over the events and compares the digests.
//
// A trace contains no key and no hash of a key: published values are recorded by
// digest and size, and loaded configurations without the keys of accounts. The
// reducers do not use the omitted data, so a replay is exact on the processor
// architecture that the trace was recorded on. One case is not reproduced: a value
// that was altered by a peer and received in several parts.
//
// # Usage
//
//	rec, err := crtrace.Create("daemon.trace", crtrace.Options{Params: params, MaxBytes: 64 << 20})
//	root := crdaemon.NewReducers(params, rec.WrapParser(parse), rec.WrapLoader(load)).Root
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

// magic is the first line of a trace. Its number is the version of the format.
const magic = "camphorroad trace 1\n"

// maxRecord is the maximum size of a record in bytes.
const maxRecord = 64 << 20

// Errors of the file format. Replay and Show wrap them in an [Error] with the offset.
var (
	// ErrFormat means that the file is not a trace or has another format version.
	ErrFormat = errors.New("not a trace of this format")
	// ErrTruncated means that the file ends within a record or an event, for
	// example because the daemon was killed.
	ErrTruncated = errors.New("trace ends within a record")
	// ErrInvalidRecord means that a record cannot be encoded or decoded.
	ErrInvalidRecord = errors.New("invalid record")
)

// Error is an error with the offset of the record in which it occurred.
type Error struct {
	offset int64
	err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("at byte %d: %v", e.offset, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Offset returns the position of the start of the record in bytes.
func (e *Error) Offset() int64 { return e.offset }

// Kinds of records other than events.
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

// done is the last record of an event.
type done struct {
	Effects int    `cbor:"n"`
	Digest  uint64 `cbor:"s"` // of the effects, in order
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
	r          *bufio.Reader
	offset     int64 // of the last record read
	nextOffset int64
}

// newReader returns a reader after checking the first line.
func newReader(src io.Reader) (*reader, error) {
	r := &reader{r: bufio.NewReader(src), nextOffset: int64(len(magic))}
	line := make([]byte, len(magic))
	if _, err := io.ReadFull(r.r, line); err != nil || string(line) != magic {
		return nil, r.fail(ErrFormat)
	}
	return r, nil
}

func (r *reader) fail(err error) error { return &Error{offset: r.offset, err: err} }

// read returns the next record, or an unwrapped io.EOF at the end of the trace.
func (r *reader) read() (record, error) {
	r.offset = r.nextOffset
	n, err := binary.ReadUvarint(r.r)
	switch {
	case errors.Is(err, io.EOF):
		return record{}, io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		return record{}, r.fail(ErrTruncated)
	case err != nil || n > maxRecord:
		return record{}, r.fail(fmt.Errorf("%w: length out of range", ErrInvalidRecord))
	}
	// The length may be wrong, so the buffer grows with the bytes that are read.
	var b bytes.Buffer
	got, err := io.CopyN(&b, r.r, int64(n))
	if errors.Is(err, io.EOF) {
		return record{}, r.fail(ErrTruncated)
	}
	if err != nil {
		return record{}, r.fail(err)
	}
	r.nextOffset += int64(len(binary.AppendUvarint(nil, n))) + got
	var rec record
	if err := cbor.Unmarshal(b.Bytes(), &rec); err != nil {
		return record{}, r.fail(fmt.Errorf("%w: %w", ErrInvalidRecord, err))
	}
	return rec, nil
}
