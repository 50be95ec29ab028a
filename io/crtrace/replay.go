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

// Errors of a replay. Both come within an [EventError].
var (
	// ErrDiverged tells that the reducers gave other effects than recorded.
	ErrDiverged = errors.New("effects differ from those recorded")
	// ErrInvariantViolated tells of an outcome that must not be.
	ErrInvariantViolated = errors.New("invariant broken")
)

// EventError is an error with the number of the event, the first being 1.
type EventError struct {
	number int
	kind   string
	err    error
}

// Error implements error.
func (e *EventError) Error() string { return fmt.Sprintf("event %d (%s): %v", e.number, e.kind, e.err) }

// Unwrap returns the cause.
func (e *EventError) Unwrap() error { return e.err }

// Number is the event's number.
func (e *EventError) Number() int { return e.number }

// Report says what a replay came to.
type Report struct {
	Daemon    crid.Daemon     `json:"daemon"`
	Events    int             `json:"events"`
	Effects   map[string]int  `json:"effects"` // by name
	LogEvents  map[int]int     `json:"reports"` // by the number of the log's event
	Revisions []crid.Revision `json:"revisions"`
	ActiveLists   []crid.Revision `json:"tenures"` // lists; 0 for each loss of standing
}

// Replay runs the real reducers over a trace. The report covers what was
// replayed before the error, if any: an *[Error] of the file, an *[EventError]
// of the outcome.
func Replay(src io.Reader) (Report, error) {
	p := &player{report: Report{Effects: make(map[string]int), LogEvents: make(map[int]int)}}
	err := p.run(src)
	return p.report, err
}

// player replays one trace.
type player struct {
	codec  *codec
	r      *reader
	root   *crdaemon.Root
	inv    invariants
	report Report

	kind    string // of the event
	records []record
}

func (p *player) run(src io.Reader) error {
	err := p.open(src)
	for err == nil {
		err = p.event()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (p *player) open(src io.Reader) error {
	var err error
	if p.codec, err = newCodec(); err != nil {
		return err
	}
	if p.r, err = newReader(src); err != nil {
		return err
	}
	rec, err := p.r.read()
	if err != nil {
		return err
	}
	h := header{Params: crdaemon.DefaultParams()}
	h.Params.Member.IdleInterval = 0 // a trace that does not name it is from before daemons rested
	if rec.Kind != kindHeader {
		return p.r.fail(fmt.Errorf("%w: %q where the parameters should be", ErrInvalidRecord, rec.Kind))
	}
	if err := rec.decode(&h); err != nil {
		return p.r.fail(err)
	}
	control := crdaemon.NewReducers(h.Params, p.parse, p.load)
	control.Config.SetDigestFunc(digestOf)
	p.root = control.Root
	return nil
}

// event replays one event with the records that belong to it. The event is
// applied only once its last record was read, so that a truncated trace is
// replayed up to its last whole event.
func (p *player) event() error {
	ev, want, err := p.next()
	if err != nil {
		return err
	}
	p.report.Events++
	p.inv.begin(ev)
	effects := p.root.Step(ev)
	p.note(ev, effects)
	if len(p.records) > 0 {
		return p.fail(fmt.Errorf("%w: no %s was asked for", ErrDiverged, p.records[0].Kind))
	}
	if err := p.inv.check(ev.At(), effects); err != nil {
		return p.fail(fmt.Errorf("%w: %w", ErrInvariantViolated, err))
	}
	got, err := p.codec.sum(effects)
	if err != nil {
		return p.fail(err)
	}
	if got != want {
		return p.fail(fmt.Errorf("%w: %d effects, recorded were %d: %s", ErrDiverged, got.Effects, want.Effects, names(effects)))
	}
	return nil
}

func (p *player) fail(err error) error {
	return &EventError{number: p.report.Events, kind: p.kind, err: err}
}

func names(effects []crevent.Effect) []string {
	all := make([]string, 0, len(effects))
	for _, eff := range effects {
		all = append(all, eff.EffectName())
	}
	return all
}

func (p *player) next() (crevent.Event, done, error) {
	rec, err := p.r.read()
	if err != nil {
		return nil, done{}, err
	}
	ev, err := p.codec.decode(rec)
	if err != nil {
		return nil, done{}, p.r.fail(err)
	}
	if ev == nil {
		return nil, done{}, p.r.fail(fmt.Errorf("%w: %q where an event should be", ErrInvalidRecord, rec.Kind))
	}
	p.kind = rec.Kind
	p.records = p.records[:0]
	for {
		rec, err := p.r.read()
		if errors.Is(err, io.EOF) {
			return nil, done{}, p.r.fail(ErrTruncated)
		}
		if err != nil {
			return nil, done{}, err
		}
		if rec.Kind == kindDone {
			var d done
			if err := rec.decode(&d); err != nil {
				return nil, done{}, p.r.fail(err)
			}
			return ev, d, nil
		}
		p.records = append(p.records, rec)
	}
}

// take returns the next record of the event, which must be of the kind.
func (p *player) take(kind string, v any) error {
	if len(p.records) == 0 || p.records[0].Kind != kind {
		return fmt.Errorf("%w: no %s was recorded here", ErrDiverged, kind)
	}
	rec := p.records[0]
	p.records = p.records[1:]
	return rec.decode(v)
}

func (p *player) parse([]byte) (crconfig.Manifest, error) {
	var m parsed
	if err := p.take(kindParse, &m); err != nil {
		return crconfig.Manifest{}, err
	}
	return m.Manifest, faultOf(m.Fault)
}

func (p *player) load(rev crid.Revision, _ crconfig.Manifest, _ map[string][]byte) (*crpolicy.Snapshot, error) {
	var l loaded
	if err := p.take(kindLoad, &l); err != nil {
		return nil, err
	}
	if err := faultOf(l.Fault); err != nil {
		return nil, err
	}
	return crpolicy.NewSnapshot(rev, l.Services, l.Accounts), nil
}

func faultOf(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}

// Write prints the report, one fact a line.
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
