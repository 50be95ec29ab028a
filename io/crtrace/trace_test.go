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

var update = flag.Bool("update", false, "write the golden files anew")

// recordings are runs of three daemons as processes: each is what one of them
// recorded in e2e/trace_test.go.
func recordings() []string { return []string{"calm", "frozen", "list", "away", "sick"} }

func load(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name+".trace"))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A change of a reducer that changes what a daemon did in one of these runs
// shows here. If the change is meant, `make traces` records them anew.
func TestRecordedRunsReplayToTheirStatedOutcomes(t *testing.T) {
	for _, name := range recordings() {
		t.Run(name, func(t *testing.T) {
			report, err := Replay(bytes.NewReader(load(t, name)))
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
				t.Errorf("outcome differs from %s:\n%s", golden, &got)
			}
			checkCatalogued(t, report)
		})
	}
}

func checkCatalogued(t *testing.T, report Report) {
	t.Helper()
	known := make(map[int]bool)
	for _, e := range crlog.Catalogue() {
		known[e.Number] = true
	}
	for n := range report.LogEvents {
		if !known[n] {
			t.Errorf("event %d was reported and is not catalogued", n)
		}
	}
}

// A daemon that was killed leaves half a record. What was recorded before must
// still replay, or the traces of the worst moments would be worth nothing.
func TestTruncatedTraceReplaysUpToItsEnd(t *testing.T) {
	whole := load(t, "calm")
	full, err := Replay(bytes.NewReader(whole))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Replay(bytes.NewReader(whole[:len(whole)/2]))
	var at *Error
	if !errors.Is(err, ErrTruncated) || !errors.As(err, &at) {
		t.Fatalf("half a trace gives %v", err)
	}
	if at.Offset() <= int64(len(magic)) || at.Offset() >= int64(len(whole)/2) {
		t.Errorf("offset %d of %d bytes", at.Offset(), len(whole)/2)
	}
	if report.Events == 0 || report.Events >= full.Events {
		t.Errorf("%d of %d events replayed", report.Events, full.Events)
	}
}

// rewrite returns a trace with some of its records changed.
func rewrite(t *testing.T, trace []byte, change func(n int, rec *record)) []byte {
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

// A reducer that does other than the daemon did must be found at the first
// event where it does.
func TestFirstDifferenceIsNamed(t *testing.T) {
	const changed = 40 // the fortieth event's digest
	seen := 0
	trace := rewrite(t, load(t, "calm"), func(_ int, rec *record) {
		if rec.Kind == kindDone {
			seen++
		}
		if rec.Kind == kindDone && seen >= changed {
			rec.Body[len(rec.Body)-1] ^= 1
		}
	})
	report, err := Replay(bytes.NewReader(trace))
	var at *EventError
	if !errors.Is(err, ErrDiverged) || !errors.As(err, &at) || at.Number() != changed || report.Events != changed {
		t.Errorf("replay gives %v after %d events", err, report.Events)
	}
}

func TestBadFilesAreRefusedWithTheirOffset(t *testing.T) {
	good := load(t, "calm")
	unknown := rewrite(t, good, func(n int, rec *record) {
		if n == 1 {
			rec.Kind = "mystery"
		}
	})
	long := append([]byte(magic), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f)
	for name, tt := range map[string]struct {
		file []byte
		want error
	}{
		"empty":          {nil, ErrFormat},
		"another format": {[]byte(strings.Repeat("not a trace ", 9)), ErrFormat},
		"wild length":    {long, ErrInvalidRecord},
		"unknown kind":   {unknown, ErrInvalidRecord},
		"no CBOR":        {append([]byte(magic), 2, 0xff, 0xff), ErrInvalidRecord},
	} {
		_, err := Replay(bytes.NewReader(tt.file))
		var at *Error
		if !errors.Is(err, tt.want) || !errors.As(err, &at) {
			t.Errorf("%s gives %v", name, err)
		}
	}
}

// Each invariant is broken once, since a check that can not fail proves nothing.
func TestInvariantsCanFail(t *testing.T) {
	force := func(rev crid.Revision) crevent.Effect {
		return crconfig.Applied{Snapshot: crpolicy.NewSnapshot(rev, nil, nil)}
	}
	tenure := func(list crid.Revision, until crid.Instant) crevent.Effect {
		return crmember.Lease{Active: list, Until: until}
	}
	grant := crevent.Send{To: "b", Msg: craccount.Grant{Items: []craccount.GrantItem{{Account: "a", Tokens: 1}}}}
	for _, tt := range []struct {
		name    string
		effects []crevent.Effect
		broken  bool
	}{
		{"revision grows", []crevent.Effect{force(1), force(3)}, false},
		{"revision goes back", []crevent.Effect{force(3), force(2)}, true},
		{"revision again", []crevent.Effect{force(3), force(3)}, true},
		{"tenure comes back", []crevent.Effect{tenure(2, 9), tenure(2, 0), tenure(2, 20)}, false},
		{"tenure under an older list", []crevent.Effect{tenure(2, 9), tenure(0, 0), tenure(1, 20)}, true},
		{"grant with tenure", []crevent.Effect{tenure(2, 11), grant}, false},
		{"grant in a handover", []crevent.Effect{tenure(2, 9), crmember.Lease{Now: 9, JointUntil: 11}, grant}, false},
		{"grant after the bridge", []crevent.Effect{crmember.Lease{Now: 9, JointUntil: 10}, grant}, true},
		{"grant on a bridge that tenure ended", []crevent.Effect{crmember.Lease{Active: 2, Until: 10, JointUntil: 20}, grant}, true},
		{"grant after tenure", []crevent.Effect{tenure(2, 10), grant}, true},
		{"grant without tenure", []crevent.Effect{grant}, true},
	} {
		var inv invariants
		if err := inv.check(10, tt.effects); (err != nil) != tt.broken {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

// A floor that is broken by ejecting leaves a service short of healthy targets.
func TestFloorInvariantCanFail(t *testing.T) {
	var instances []crinstance.Instance
	for _, name := range []crid.Daemon{"a", "b", "c"} {
		instances = append(instances, crinstance.Instance{
			Daemon: name, State: crinstance.StateLive,
			Targets: []crinstance.Target{{Name: crid.Target(name), Service: "booking"}},
		})
	}
	policy := crpolicy.NewSnapshot(1, []crpolicy.Service{{Name: "booking", Floor: 2}}, nil)
	start := []crevent.Effect{
		crinstance.ListUpdated{List: crinstance.NewList(1, instances)},
		crconfig.Applied{Snapshot: policy},
		crmember.PeersChanged{Peers: []crmember.Peer{{Daemon: "b", Reachable: true}, {Daemon: "c", Reachable: true}}},
	}
	lost := crmember.PeersChanged{Peers: []crmember.Peer{{Daemon: "b", Reachable: true}, {Daemon: "c"}}}
	steer := func(weight int, ejected ...crid.Target) crevent.Effect {
		s := crhealth.RoutingUpdate{Service: "booking"}
		for _, target := range ejected {
			s.Targets = append(s.Targets, crhealth.TargetState{Target: target, Ejected: true, Weight: weight})
		}
		return s
	}
	for _, tt := range []struct {
		name    string
		effects []crevent.Effect
		broken  bool
	}{
		{"down to the floor", []crevent.Effect{steer(crhealth.FullWeight, "b")}, false},
		{"below the floor", []crevent.Effect{steer(crhealth.FullWeight, "b", "c")}, true},
		{"one is lost as well", []crevent.Effect{lost, steer(crhealth.FullWeight, "b")}, true},
		{"the lost one is ejected", []crevent.Effect{lost, steer(crhealth.FullWeight, "c")}, false},
		{"mended within the event", []crevent.Effect{steer(crhealth.FullWeight, "b", "c"), steer(crhealth.FullWeight, "b")}, false},
		{"a cold one is no capacity", []crevent.Effect{steer(1, "b")}, false},
	} {
		var inv invariants
		inv.begin(crevent.Started{Self: "a"})
		if err := inv.check(1, append(slices.Clone(start), tt.effects...)); (err != nil) != tt.broken {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

type memory struct{ bytes.Buffer }

func (*memory) Close() error { return nil }

// A full trace must cost the daemon nothing, and still replay.
func TestFullTraceStops(t *testing.T) {
	var file memory
	var why []error
	rec, err := newRecorder(&file, Options{Params: crdaemon.DefaultParams(), MaxBytes: 2000, OnStop: func(err error) { why = append(why, err) }})
	if err != nil {
		t.Fatal(err)
	}
	root := crdaemon.NewReducers(crdaemon.DefaultParams(), nil, nil).Root
	for now := crid.Instant(1); now < 1000; now++ {
		ev := crevent.Tick{Now: now}
		rec.Event(ev)
		rec.Effects(root.Step(ev))
	}
	if len(why) != 1 || !errors.Is(why[0], ErrFull) || file.Len() > 2000 {
		t.Errorf("stopped by %v with %d bytes", why, file.Len())
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
	if err := Show(bytes.NewReader(load(t, "calm")), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	if !strings.HasPrefix(lines[0], "0\tparams\t") || !strings.HasPrefix(lines[1], "1\tstarted\t") || !strings.HasPrefix(lines[2], "1\tdone\t") {
		t.Errorf("shows\n%s", strings.Join(lines[:3], "\n"))
	}
}

func BenchmarkRecord(b *testing.B) {
	rec, err := newRecorder(&memory{}, Options{MaxBytes: 1 << 40})
	if err != nil {
		b.Fatal(err)
	}
	beat := crmember.Heartbeat{Seq: 9, Incarnation: 1 << 60, Newest: 2, LastActive: 2, ConfigRevision: 1, Echo: crmember.Echo{Incarnation: 1 << 59, Seq: 8}}
	for b.Loop() {
		rec.Event(crevent.Received{Now: 1, From: "booking-2", Msg: beat})
		rec.Effects([]crevent.Effect{crevent.Send{To: "booking-2", Msg: beat}})
	}
}
