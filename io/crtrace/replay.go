package crtrace

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"camphorroad/core/crconfig"
	"camphorroad/core/crdaemon"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// Errors of a replay. Both are wrapped in an [EventError].
var (
	// ErrDiverged means that the effects of an event, or its requests to the parser
	// or loader, differ from the recorded ones.
	ErrDiverged = errors.New("effects differ from those recorded")
	// ErrInvariantViolated means that the effects of an event violate an invariant.
	ErrInvariantViolated = errors.New("invariant violated")
)

// EventError is an error with the number and the kind of the event.
type EventError struct {
	number int
	kind   string
	err    error
}

// Error implements error.
func (e *EventError) Error() string { return fmt.Sprintf("event %d (%s): %v", e.number, e.kind, e.err) }

// Unwrap returns the cause.
func (e *EventError) Unwrap() error { return e.err }

// Number returns the number of the event, starting at 1.
func (e *EventError) Number() int { return e.number }

// Report summarizes a replay.
type Report struct {
	Daemon      crid.Daemon     `json:"daemon"`
	Events      int             `json:"events"`
	Effects     map[string]int  `json:"effects"` // counts by name
	LogEvents   map[int]int     `json:"reports"` // counts by number of the log event
	Revisions   []crid.Revision `json:"revisions"`
	ActiveLists []crid.Revision `json:"tenures"` // revisions of the instance lists of successive leases; 0 for each loss of the lease
}

// Replay runs the production reducers over a trace. The error is an *[Error] if the
// file cannot be read, or an *[EventError] if an event diverges or violates an
// invariant. The report covers the events up to the error.
func Replay(src io.Reader) (Report, error) {
	r := &replayer{report: Report{Effects: make(map[string]int), LogEvents: make(map[int]int)}}
	err := r.run(src)
	return r.report, err
}

// replayer replays one trace.
type replayer struct {
	codec  *codec
	reader *reader
	root   *crdaemon.Root
	inv    invariants
	report Report

	kind    string   // of the current event
	pending []record // parser and loader records of the current event, not yet consumed
}

func (r *replayer) run(src io.Reader) error {
	err := r.readHeader(src)
	for err == nil {
		err = r.replayEvent()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (r *replayer) readHeader(src io.Reader) error {
	var err error
	if r.codec, err = newCodec(); err != nil {
		return err
	}
	if r.reader, err = newReader(src); err != nil {
		return err
	}
	rec, err := r.reader.read()
	if err != nil {
		return err
	}
	h := header{Params: crdaemon.DefaultParams()}
	h.Params.Member.IdleInterval = 0 // traces without this field come from daemons that had no idle interval
	if rec.Kind != kindHeader {
		return r.reader.fail(fmt.Errorf("%w: expected the parameters, got %q", ErrInvalidRecord, rec.Kind))
	}
	if err := rec.decode(&h); err != nil {
		return r.reader.fail(err)
	}
	control := crdaemon.NewReducers(h.Params, r.parse, r.load)
	control.Config.SetDigestFunc(digestOf)
	r.root = control.Root
	return nil
}

// replayEvent replays one event. All records of the event are read before it is
// applied, so that a truncated trace replays up to its last complete event.
func (r *replayer) replayEvent() error {
	ev, want, err := r.readEvent()
	if err != nil {
		return err
	}
	r.report.Events++
	r.inv.observeEvent(ev)
	effects := r.root.Step(ev)
	r.summarize(ev, effects)
	if len(r.pending) > 0 {
		return r.fail(fmt.Errorf("%w: the reducers did not request the recorded %s", ErrDiverged, r.pending[0].Kind))
	}
	if err := r.inv.check(ev.At(), effects); err != nil {
		return r.fail(fmt.Errorf("%w: %w", ErrInvariantViolated, err))
	}
	got, err := r.codec.digestEffects(effects)
	if err != nil {
		return r.fail(err)
	}
	if got != want {
		return r.fail(fmt.Errorf("%w: got %d effects, recorded %d: %s", ErrDiverged, got.Effects, want.Effects, effectNames(effects)))
	}
	return nil
}

func (r *replayer) fail(err error) error {
	return &EventError{number: r.report.Events, kind: r.kind, err: err}
}

func effectNames(effects []crevent.Effect) []string {
	all := make([]string, 0, len(effects))
	for _, eff := range effects {
		all = append(all, eff.EffectName())
	}
	return all
}

func (r *replayer) readEvent() (crevent.Event, done, error) {
	rec, err := r.reader.read()
	if err != nil {
		return nil, done{}, err
	}
	ev, err := r.codec.decode(rec)
	if err != nil {
		return nil, done{}, r.reader.fail(err)
	}
	if ev == nil {
		return nil, done{}, r.reader.fail(fmt.Errorf("%w: expected an event, got %q", ErrInvalidRecord, rec.Kind))
	}
	r.kind = rec.Kind
	r.pending = r.pending[:0]
	for {
		rec, err := r.reader.read()
		if errors.Is(err, io.EOF) {
			return nil, done{}, r.reader.fail(ErrTruncated)
		}
		if err != nil {
			return nil, done{}, err
		}
		if rec.Kind == kindDone {
			var d done
			if err := rec.decode(&d); err != nil {
				return nil, done{}, r.reader.fail(err)
			}
			return ev, d, nil
		}
		r.pending = append(r.pending, rec)
	}
}

// takeRecord decodes the next pending record into v. The record must be of the given
// kind.
func (r *replayer) takeRecord(kind string, v any) error {
	if len(r.pending) == 0 || r.pending[0].Kind != kind {
		return fmt.Errorf("%w: the reducers requested a %s that was not recorded", ErrDiverged, kind)
	}
	rec := r.pending[0]
	r.pending = r.pending[1:]
	return rec.decode(v)
}

func (r *replayer) parse([]byte) (crconfig.Manifest, error) {
	var m parsed
	if err := r.takeRecord(kindParse, &m); err != nil {
		return crconfig.Manifest{}, err
	}
	return m.Manifest, errorOf(m.Fault)
}

func (r *replayer) load(rev crid.Revision, _ crconfig.Manifest, _ map[string][]byte) (*crpolicy.Snapshot, error) {
	var l loaded
	if err := r.takeRecord(kindLoad, &l); err != nil {
		return nil, err
	}
	if err := errorOf(l.Fault); err != nil {
		return nil, err
	}
	return crpolicy.NewSnapshot(rev, l.Services, l.Accounts), nil
}

func errorOf(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}

// Write prints the report as lines of a key and a value, separated by a tab.
func (r Report) Write(w io.Writer) error {
	lines := []string{
		fmt.Sprintf("daemon\t%s", r.Daemon),
		fmt.Sprintf("events\t%d", r.Events),
		fmt.Sprintf("revisions\t%v", r.Revisions),
		fmt.Sprintf("tenures\t%v", r.ActiveLists),
	}
	for _, name := range slices.Sorted(maps.Keys(r.Effects)) {
		lines = append(lines, fmt.Sprintf("effect %s\t%d", name, r.Effects[name]))
	}
	for _, n := range slices.Sorted(maps.Keys(r.LogEvents)) {
		lines = append(lines, fmt.Sprintf("report %d\t%d", n, r.LogEvents[n]))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}
