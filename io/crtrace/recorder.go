package crtrace

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"camphorroad/core/crconfig"
	"camphorroad/core/crdaemon"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// ErrFull tells that the trace has reached its size.
var ErrFull = errors.New("the trace has reached its size")

// Options configure a Recorder.
type Options struct {
	Params crdaemon.Params
	MaxBytes   int64 // bytes at most
	// OnStop is called once, when nothing more is recorded for an error.
	OnStop func(err error)
}

// Recorder writes a trace. A fault ends the recording, never the daemon. Its
// methods but Close belong to the control goroutine.
type Recorder struct {
	opts  Options
	codec *codec
	buf   []byte // the event under way, which is written whole or not at all
	err   error  // of the event under way
	tick  bool

	mu   sync.Mutex
	file io.WriteCloser
	w    *bufio.Writer // nil once stopped
	left int64
}

// Create begins a trace in a new file; what was in it is lost.
func Create(path string, opts Options) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	rec, err := newRecorder(file, opts)
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return rec, nil
}

func newRecorder(file io.WriteCloser, opts Options) (*Recorder, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	r := &Recorder{opts: opts, codec: c, file: file, w: bufio.NewWriter(file), left: opts.MaxBytes}
	r.add([]byte(magic), nil)
	r.add(encode(kindHeader, header{Params: opts.Params}))
	r.commit(true)
	return r, nil
}

// Event records an event that is about to be applied.
func (r *Recorder) Event(ev crevent.Event) {
	_, r.tick = ev.(crevent.Tick)
	r.add(r.codec.encode(ev))
}

// Effects records what came of the event. What a killed daemon has recorded is
// in the file but for the time since its last tick.
func (r *Recorder) Effects(effects []crevent.Effect) {
	sum, err := r.codec.sum(effects)
	r.add(nil, err)
	r.add(encode(kindDone, sum))
	r.commit(r.tick)
}

// WrapParser returns a parser that records what it gives.
func (r *Recorder) WrapParser(parse crconfig.Parser) crconfig.Parser {
	return func(manifest []byte) (crconfig.Manifest, error) {
		m, err := parse(manifest)
		r.add(encode(kindParse, parsed{Manifest: m, Fault: textOf(err)}))
		return m, err
	}
}

// WrapLoader returns a loader that records what it gives.
func (r *Recorder) WrapLoader(load crconfig.Loader) crconfig.Loader {
	return func(rev crid.Revision, m crconfig.Manifest, values map[string][]byte) (*crpolicy.Snapshot, error) {
		snap, err := load(rev, m, values)
		if err != nil {
			r.add(encode(kindLoad, loaded{Rev: rev, Fault: textOf(err)}))
			return snap, err
		}
		r.add(encode(kindLoad, redactSnapshot(rev, snap)))
		return snap, nil
	}
}

func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Close ends the trace.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w == nil {
		return nil
	}
	err := r.w.Flush()
	r.w = nil
	return errors.Join(err, r.file.Close())
}

// add takes one record of the event under way.
func (r *Recorder) add(b []byte, err error) {
	r.buf = append(r.buf, b...)
	r.err = errors.Join(r.err, err)
}

// commit writes the event under way.
func (r *Recorder) commit(flush bool) {
	b, err := r.buf, r.err
	r.buf, r.err = r.buf[:0], nil
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w == nil {
		return
	}
	r.left -= int64(len(b))
	if err == nil && r.left < 0 {
		err = ErrFull
	}
	if err == nil {
		_, err = r.w.Write(b)
	}
	if err == nil && flush {
		err = r.w.Flush()
	}
	if err != nil {
		r.stop(err)
	}
}

// stop ends the recording for an error; what is whole stays in the file.
func (r *Recorder) stop(err error) {
	_ = r.w.Flush()
	_ = r.file.Close()
	r.w = nil
	if r.opts.OnStop != nil {
		r.opts.OnStop(err)
	}
}
