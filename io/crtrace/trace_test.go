package crtrace

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"camphorroad/core/craccount"
	"camphorroad/core/crconfig"
	"camphorroad/core/crdaemon"
	"camphorroad/core/crevent"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crlog"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// traceNames returns the names of the traces under testdata. e2e/trace_test.go
// recorded each on one of three daemon processes.
func traceNames() []string { return []string{"calm", "frozen", "list", "away", "sick"} }

func readTrace(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name+".trace"))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A change of a reducer must not alter the effects in a recorded run. After an intended
// change, `make traces` records the traces again.
func TestRecordedTracesReplayToGoldenReports(t *testing.T) {
	for _, name := range traceNames() {
		t.Run(name, func(t *testing.T) {
			report, err := Replay(bytes.NewReader(readTrace(t, name)))
			if err != nil {
				t.Fatal(err)
			}
			var got bytes.Buffer
			if err := report.Write(&got); err != nil {
				t.Fatal(err)
			}
			golden := filepath.Join("testdata", name+".golden")
			if *update {
				if err := os.WriteFile(golden, got.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got.String() != string(want) {
				t.Errorf("report differs from %s:\n%s", golden, &got)
			}
			checkLogEventsInCatalogue(t, report)
		})
	}
}

func checkLogEventsInCatalogue(t *testing.T, report Report) {
	t.Helper()
	known := make(map[int]bool)
	for _, e := range crlog.Catalogue() {
		known[e.Number] = true
	}
	for n := range report.LogEvents {
		if !known[n] {
			t.Errorf("event %d was reported but is not in the catalogue", n)
		}
	}
}

// A killed daemon leaves an incomplete record at the end of its trace. The events
// before it must still be replayed, so that the trace of a crash can be analyzed.
func TestTruncatedTraceReplaysUpToLastCompleteEvent(t *testing.T) {
	whole := readTrace(t, "calm")
	full, err := Replay(bytes.NewReader(whole))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Replay(bytes.NewReader(whole[:len(whole)/2]))
	var at *Error
	if !errors.Is(err, ErrTruncated) || !errors.As(err, &at) {
		t.Fatalf("replay of half a trace returned %v", err)
	}
	if at.Offset() <= int64(len(magic)) || at.Offset() >= int64(len(whole)/2) {
		t.Errorf("offset %d of %d bytes", at.Offset(), len(whole)/2)
	}
	if report.Events == 0 || report.Events >= full.Events {
		t.Errorf("%d of %d events replayed", report.Events, full.Events)
	}
}

// rewriteTrace returns a copy of a trace with change applied to each record.
func rewriteTrace(t *testing.T, trace []byte, change func(n int, rec *record)) []byte {
	t.Helper()
	r, err := newReader(bytes.NewReader(trace))
	if err != nil {
		t.Fatal(err)
	}
	out := []byte(magic)
	for n := 0; ; n++ {
		rec, err := r.read()
		if errors.Is(err, io.EOF) {
			return out
		}
		if err != nil {
			t.Fatal(err)
		}
		change(n, &rec)
		b, err := encode(rec.Kind, rec.Body)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, b...)
	}
}

// A replay must stop at the first event whose effects differ from the recorded ones.
func TestReplayReportsFirstDivergentEvent(t *testing.T) {
	const firstChanged = 40 // number of the first event with an altered digest
	seen := 0
	trace := rewriteTrace(t, readTrace(t, "calm"), func(_ int, rec *record) {
		if rec.Kind == kindDone {
			seen++
		}
		if rec.Kind == kindDone && seen >= firstChanged {
			rec.Body[len(rec.Body)-1] ^= 1
		}
	})
	report, err := Replay(bytes.NewReader(trace))
	var at *EventError
	if !errors.Is(err, ErrDiverged) || !errors.As(err, &at) || at.Number() != firstChanged || report.Events != firstChanged {
		t.Errorf("replay returned %v after %d events", err, report.Events)
	}
}

func TestInvalidFilesAreRejectedWithOffset(t *testing.T) {
	good := readTrace(t, "calm")
	unknown := rewriteTrace(t, good, func(n int, rec *record) {
		if n == 1 {
			rec.Kind = "unknown"
		}
	})
	long := append([]byte(magic), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f)
	for name, tt := range map[string]struct {
		file []byte
		want error
	}{
		"empty":            {nil, ErrFormat},
		"another format":   {[]byte(strings.Repeat("not a trace ", 9)), ErrFormat},
		"length too large": {long, ErrInvalidRecord},
		"unknown kind":     {unknown, ErrInvalidRecord},
		"invalid CBOR":     {append([]byte(magic), 2, 0xff, 0xff), ErrInvalidRecord},
	} {
		_, err := Replay(bytes.NewReader(tt.file))
		var at *Error
		if !errors.Is(err, tt.want) || !errors.As(err, &at) {
			t.Errorf("%s: replay returned %v", name, err)
		}
	}
}

// Violates each invariant at least once, to show that its check can fail.
func TestInvariantViolationsAreDetected(t *testing.T) {
	applied := func(rev crid.Revision) crevent.Effect {
		return crconfig.Applied{Snapshot: crpolicy.NewSnapshot(rev, nil, nil)}
	}
	lease := func(list crid.Revision, until crid.Instant) crevent.Effect {
		return crmember.Lease{Active: list, Until: until}
	}
	grant := crevent.Send{To: "b", Msg: craccount.Grant{Items: []craccount.GrantItem{{Account: "a", Tokens: 1}}}}
	for _, tt := range []struct {
		name    string
		effects []crevent.Effect
		wantErr bool
	}{
		{"revision increases", []crevent.Effect{applied(1), applied(3)}, false},
		{"revision decreases", []crevent.Effect{applied(3), applied(2)}, true},
		{"revision repeated", []crevent.Effect{applied(3), applied(3)}, true},
		{"lease regained", []crevent.Effect{lease(2, 9), lease(2, 0), lease(2, 20)}, false},
		{"lease under an older list", []crevent.Effect{lease(2, 9), lease(0, 0), lease(1, 20)}, true},
		{"grant with a lease", []crevent.Effect{lease(2, 11), grant}, false},
		{"grant during a handover", []crevent.Effect{lease(2, 9), crmember.Lease{Now: 9, JointUntil: 11}, grant}, false},
		{"grant after the end of a handover", []crevent.Effect{crmember.Lease{Now: 9, JointUntil: 10}, grant}, true},
		{"grant after a lease that replaced a handover", []crevent.Effect{crmember.Lease{Active: 2, Until: 10, JointUntil: 20}, grant}, true},
		{"grant after the lease", []crevent.Effect{lease(2, 10), grant}, true},
		{"grant without a lease", []crevent.Effect{grant}, true},
	} {
		var inv invariants
		if err := inv.check(10, tt.effects); (err != nil) != tt.wantErr {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

// Ejections below the floor leave a service with too few targets.
func TestFloorViolationsAreDetected(t *testing.T) {
	var instances []crinstance.Instance
	for _, name := range []crid.Daemon{"a", "b", "c"} {
		instances = append(instances, crinstance.Instance{
			Daemon: name, State: crinstance.StateLive,
			Targets: []crinstance.Target{{Name: crid.Target(name), Service: "booking"}},
		})
	}
	policy := crpolicy.NewSnapshot(1, []crpolicy.Service{{Name: "booking", Floor: 2}}, nil)
	initial := []crevent.Effect{
		crinstance.ListUpdated{List: crinstance.NewList(1, instances)},
		crconfig.Applied{Snapshot: policy},
		crmember.PeersChanged{Peers: []crmember.Peer{{Daemon: "b", Reachable: true}, {Daemon: "c", Reachable: true}}},
	}
	unreachable := crmember.PeersChanged{Peers: []crmember.Peer{{Daemon: "b", Reachable: true}, {Daemon: "c"}}}
	ejections := func(weight int, ejected ...crid.Target) crevent.Effect {
		s := crhealth.RoutingUpdate{Service: "booking"}
		for _, target := range ejected {
			s.Targets = append(s.Targets, crhealth.TargetState{Target: target, Ejected: true, Weight: weight})
		}
		return s
	}
	for _, tt := range []struct {
		name    string
		effects []crevent.Effect
		wantErr bool
	}{
		{"ejected down to the floor", []crevent.Effect{ejections(crhealth.FullWeight, "b")}, false},
		{"ejected below the floor", []crevent.Effect{ejections(crhealth.FullWeight, "b", "c")}, true},
		{"another daemon is unreachable", []crevent.Effect{unreachable, ejections(crhealth.FullWeight, "b")}, true},
		{"target of the unreachable daemon is ejected", []crevent.Effect{unreachable, ejections(crhealth.FullWeight, "c")}, false},
		{"corrected within the event", []crevent.Effect{ejections(crhealth.FullWeight, "b", "c"), ejections(crhealth.FullWeight, "b")}, false},
		{"ejected target in slow start is not capacity", []crevent.Effect{ejections(1, "b")}, false},
	} {
		var inv invariants
		inv.observeEvent(crevent.Started{Self: "a"})
		if err := inv.check(1, append(slices.Clone(initial), tt.effects...)); (err != nil) != tt.wantErr {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

type memoryFile struct{ bytes.Buffer }

func (*memoryFile) Close() error { return nil }

// A trace that reaches MaxBytes must end without an effect on the daemon, and must
// still be replayable.
func TestRecordingStopsAtMaxBytes(t *testing.T) {
	var file memoryFile
	var causes []error
	rec, err := newRecorder(&file, Options{Params: crdaemon.DefaultParams(), MaxBytes: 2000, OnStop: func(err error) { causes = append(causes, err) }})
	if err != nil {
		t.Fatal(err)
	}
	root := crdaemon.NewReducers(crdaemon.DefaultParams(), nil, nil).Root
	for now := crid.Instant(1); now < 1000; now++ {
		ev := crevent.Tick{Now: now}
		rec.Event(ev)
		rec.Effects(root.Step(ev))
	}
	if len(causes) != 1 || !errors.Is(causes[0], ErrFull) || file.Len() > 2000 {
		t.Errorf("stopped by %v with %d bytes", causes, file.Len())
	}
	if report, err := Replay(&file.Buffer); err != nil || report.Events == 0 {
		t.Errorf("%d events replayed: %v", report.Events, err)
	}
	if err := rec.Close(); err != nil {
		t.Error(err)
	}
}

func TestShow(t *testing.T) {
	var out bytes.Buffer
	if err := Show(bytes.NewReader(readTrace(t, "calm")), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	if !strings.HasPrefix(lines[0], "0\tparams\t") || !strings.HasPrefix(lines[1], "1\tstarted\t") || !strings.HasPrefix(lines[2], "1\tdone\t") {
		t.Errorf("unexpected first lines:\n%s", strings.Join(lines[:3], "\n"))
	}
}

func BenchmarkRecord(b *testing.B) {
	rec, err := newRecorder(&memoryFile{}, Options{MaxBytes: 1 << 40})
	if err != nil {
		b.Fatal(err)
	}
	heartbeat := crmember.Heartbeat{Seq: 9, Incarnation: 1 << 60, Newest: 2, LastActive: 2, ConfigRevision: 1, Echo: crmember.Echo{Incarnation: 1 << 59, Seq: 8}}
	for b.Loop() {
		rec.Event(crevent.Received{Now: 1, From: "booking-2", Msg: heartbeat})
		rec.Effects([]crevent.Effect{crevent.Send{To: "booking-2", Msg: heartbeat}})
	}
}
