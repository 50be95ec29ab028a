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

// ErrFull means that the next event would exceed Options.MaxBytes.
var ErrFull = errors.New("the trace has reached its maximum size")

// Options configure a Recorder.
type Options struct {
	Params   crdaemon.Params
	MaxBytes int64 // of the file
	// OnStop is called once if an error ends the recording. It may be nil.
	OnStop func(err error)
}

// Recorder writes a trace. An error ends the recording but not the daemon. All
// methods except Close must be called from the control goroutine.
type Recorder struct {
	opts  Options
	codec *codec
	buf   []byte // records of the current event, which are written together or not at all
	err   error  // of the current event
	tick  bool   // the current event is a tick

	mu        sync.Mutex
	file      io.WriteCloser
	w         *bufio.Writer // nil after the recording has ended
	remaining int64
}

// Create starts a trace in a file. An existing file is truncated.
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
	r := &Recorder{opts: opts, codec: c, file: file, w: bufio.NewWriter(file), remaining: opts.MaxBytes}
	r.append([]byte(magic), nil)
	r.append(encode(kindHeader, header{Params: opts.Params}))
	r.commit(true)
	return r, nil
}

// Event records an event before the reducers apply it.
func (r *Recorder) Event(ev crevent.Event) {
	_, r.tick = ev.(crevent.Tick)
	r.append(r.codec.encode(ev))
}

// Effects records the digest of the effects of the event. The file is flushed at
// each tick, so a killed daemon loses only the events since its last tick.
func (r *Recorder) Effects(effects []crevent.Effect) {
	sum, err := r.codec.digestEffects(effects)
	r.append(nil, err)
	r.append(encode(kindDone, sum))
	r.commit(r.tick)
}

// WrapParser returns a parser that records the results of parse.
func (r *Recorder) WrapParser(parse crconfig.Parser) crconfig.Parser {
	return func(manifest []byte) (crconfig.Manifest, error) {
		m, err := parse(manifest)
		r.append(encode(kindParse, parsed{Manifest: m, Fault: errorText(err)}))
		return m, err
	}
}

// WrapLoader returns a loader that records the results of load.
func (r *Recorder) WrapLoader(load crconfig.Loader) crconfig.Loader {
	return func(rev crid.Revision, m crconfig.Manifest, values map[string][]byte) (*crpolicy.Snapshot, error) {
		snap, err := load(rev, m, values)
		if err != nil {
			r.append(encode(kindLoad, loaded{Rev: rev, Fault: errorText(err)}))
			return snap, err
		}
		r.append(encode(kindLoad, redactSnapshot(rev, snap)))
		return snap, nil
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Close flushes and closes the file.
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

// append adds one encoded record, or its error, to the current event.
func (r *Recorder) append(b []byte, err error) {
	r.buf = append(r.buf, b...)
	r.err = errors.Join(r.err, err)
}

// commit writes the records of the current event.
func (r *Recorder) commit(flush bool) {
	b, err := r.buf, r.err
	r.buf, r.err = r.buf[:0], nil
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w == nil {
		return
	}
	r.remaining -= int64(len(b))
	if err == nil && r.remaining < 0 {
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

// stop ends the recording after an error. Complete events stay in the file.
func (r *Recorder) stop(err error) {
	_ = r.w.Flush()
	_ = r.file.Close()
	r.w = nil
	if r.opts.OnStop != nil {
		r.opts.OnStop(err)
	}
}
