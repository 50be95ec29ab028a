// Package crwire encodes the messages between daemons in CBOR: length-prefixed
// frames on a stream ([Writer], [Reader]), and control messages with their kind
// ([Registry]).
//
// io/crhop and io/crexit use the frames for forwards, io/crpeer the control messages
// for the reducers. io/crtrace encodes the messages of traces with a Registry too.
//
// # Usage
//
//	reg, err := crwire.NewRegistry(crmember.Messages(), craccount.Messages())
//	b, err := reg.Encode(msg)
//	msg, err := reg.Decode(b)
//
//	w := crwire.NewWriter(stream)
//	err = w.Value(head)
//	err = w.Chunk(body)
//	err = w.End()
package crwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crevent"
)

// MaxFrame bounds one frame, in bytes. A longer one is rejected unread, so that a
// faulty peer cannot make a daemon allocate memory without bound.
const MaxFrame = 1 << 20

// abortMark is sent in place of a frame's length by Writer.Abort.
const abortMark = MaxFrame + 1

// Errors of the codec.
var (
	// ErrTooLong means that a frame is longer than MaxFrame.
	ErrTooLong = errors.New("frame too long")
	// ErrUnknownKind means that a message kind is not registered.
	ErrUnknownKind = errors.New("unknown message kind")
	// ErrTruncated means that a stream ended before its end mark.
	ErrTruncated = errors.New("stream ended before its end mark")
	// ErrAborted means that the sender could not read the rest of the body.
	ErrAborted = errors.New("sender failed to read the body")
)

// Registry maps message kinds to their types.
type Registry struct {
	types map[string]reflect.Type
}

// NewRegistry returns a Registry of the types of the given zero values. Two messages
// of one kind are an error.
func NewRegistry(groups ...[]crevent.Message) (*Registry, error) {
	reg := &Registry{types: make(map[string]reflect.Type)}
	for _, group := range groups {
		for _, msg := range group {
			if _, ok := reg.types[msg.MessageKind()]; ok {
				return nil, fmt.Errorf("message kind %q is registered twice", msg.MessageKind())
			}
			reg.types[msg.MessageKind()] = reflect.TypeOf(msg)
		}
	}
	return reg, nil
}

type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body cbor.RawMessage
}

// Encode encodes a message with its kind.
func (r *Registry) Encode(msg crevent.Message) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", msg.MessageKind(), err)
	}
	return cbor.Marshal(envelope{Kind: msg.MessageKind(), Body: body})
}

// Decode decodes a message. It returns ErrUnknownKind if the kind is not registered.
func (r *Registry) Decode(b []byte) (crevent.Message, error) {
	var env envelope
	if err := cbor.Unmarshal(b, &env); err != nil {
		return nil, fmt.Errorf("decode envelope: %w", err)
	}
	t, ok := r.types[env.Kind]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownKind, env.Kind)
	}
	v := reflect.New(t)
	if err := cbor.Unmarshal(env.Body, v.Interface()); err != nil {
		return nil, fmt.Errorf("decode %s: %w", env.Kind, err)
	}
	return v.Elem().Interface().(crevent.Message), nil
}

// Writer writes frames, buffered until Flush.
type Writer struct {
	w *bufio.Writer
}

const bufferSize = 4 << 10

// Buffers are pooled: without that they would be most of the memory that a forward
// allocates.
var (
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
)

// NewWriter returns a Writer to w with a pooled buffer.
func NewWriter(w io.Writer) *Writer {
	buf := writerPool.Get().(*bufio.Writer)
	buf.Reset(w)
	return &Writer{w: buf}
}

// Release returns the buffer to the pool. The Writer must not be used afterwards.
func (w *Writer) Release() {
	w.w.Reset(nil)
	writerPool.Put(w.w)
	w.w = nil
}

// Kind writes the first byte of a stream, its kind.
func (w *Writer) Kind(k byte) error { return w.w.WriteByte(k) }

// Value writes v as one frame.
func (w *Writer) Value(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	return w.Chunk(b)
}

// Chunk writes b as one frame. An empty b writes nothing, since an empty frame is the
// end mark.
func (w *Writer) Chunk(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if err := w.writeLength(len(b)); err != nil {
		return err
	}
	_, err := w.w.Write(b)
	return err
}

// End writes the end mark and flushes. A stream that ends without it is truncated, and
// its reader must not treat the content as complete.
func (w *Writer) End() error {
	if err := w.writeLength(0); err != nil {
		return err
	}
	return w.w.Flush()
}

// Abort writes the abort mark, for a body that could not be read to its end, and flushes.
// A reset of the stream would also discard what the receiver has not read yet, and the
// receiver could not distinguish a failed source from a failed connection.
func (w *Writer) Abort() error {
	if err := w.writeLength(abortMark); err != nil {
		return err
	}
	return w.w.Flush()
}

// Flush sends the buffered bytes.
func (w *Writer) Flush() error { return w.w.Flush() }

func (w *Writer) writeLength(n int) error {
	var b [binary.MaxVarintLen64]byte
	_, err := w.w.Write(b[:binary.PutUvarint(b[:], uint64(n))])
	return err
}

// Reader reads frames.
type Reader struct {
	r         *bufio.Reader
	remaining uint64 // bytes of the current chunk that Read has not returned
	done      bool
}

// NewReader returns a Reader of r with a pooled buffer.
func NewReader(r io.Reader) *Reader {
	buf := readerPool.Get().(*bufio.Reader)
	buf.Reset(r)
	return &Reader{r: buf}
}

// Release returns the buffer to the pool. The Reader must not be used afterwards, nor be
// in use by another goroutine, which would read bytes of another request.
func (r *Reader) Release() {
	r.r.Reset(nil)
	readerPool.Put(r.r)
	r.r = nil
}

// Kind reads the first byte of a stream, its kind.
func (r *Reader) Kind() (byte, error) {
	k, err := r.r.ReadByte()
	return k, asTruncated(err)
}

// Value reads one frame into v.
func (r *Reader) Value(v any) error {
	n, err := r.readLength()
	if err != nil {
		return err
	}
	b, err := r.readFrame(int(n))
	if err != nil {
		return asTruncated(err)
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}

// readFrame returns the next n bytes, which are valid until the next read. Nearly all heads
// fit in the buffer and need no allocation, as the decoder keeps none of the bytes.
func (r *Reader) readFrame(n int) ([]byte, error) {
	if n <= r.r.Size() {
		b, err := r.r.Peek(n)
		if err != nil {
			return nil, err
		}
		_, err = r.r.Discard(n)
		return b, err
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r.r, b)
	return b, err
}

// Read reads the bytes of the next chunks. It returns io.EOF only after the end mark, and
// ErrTruncated if the stream ends without it.
func (r *Reader) Read(p []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	if r.remaining == 0 {
		n, err := r.readLength()
		if err != nil {
			return 0, err
		}
		if n == 0 {
			r.done = true
			return 0, io.EOF
		}
		r.remaining = n
	}
	if uint64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.r.Read(p)
	r.remaining -= uint64(n)
	if n > 0 {
		return n, nil
	}
	return 0, asTruncated(err)
}

// Buffered reports whether a read would return buffered bytes without waiting.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// Done reports whether the end mark has been read.
func (r *Reader) Done() bool { return r.done }

func (r *Reader) readLength() (uint64, error) {
	n, err := binary.ReadUvarint(r.r)
	if err != nil {
		return 0, asTruncated(err)
	}
	if n == abortMark {
		return 0, ErrAborted
	}
	if n > MaxFrame {
		return 0, fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	return n, nil
}

// asTruncated returns ErrTruncated for an end of the stream, and other errors as they are.
func asTruncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}
