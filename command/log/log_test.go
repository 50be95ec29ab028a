package log_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"camphorroad/command/factory"
	"camphorroad/command/log"
)

const entryLog = `{"daemon":"entry-1","event":620,"level":"warning","msg":"peers unresponsive","peers":"10.0.0.9","time":"2026-12-03T05:00:01.000Z"}
{"account":"north","daemon":"entry-1","event":640,"level":"info","msg":"request not served","request":"q7","status":"500","target":"t2","time":"2026-12-03T05:00:02.040Z"}
{"daemon":"entry-1","event":642,"level":"info","msg":"request retried","request":"q7","target":"t2","time":"2026-12-03T05:00:02.020Z"}
{"daemon":"entry-1","event":640,"level":"info","msg":"request not served","request":"q8","status":"503","time":"2026-12-03T05:00:02.050Z"}
not a log event
`

const exitLog = `10.0.0.2 {"daemon":"exit-1","event":631,"level":"info","msg":"run ended","request":"q7","target":"t1","status":"500","time":"2026-12-03T05:00:02.010Z"}
10.0.0.2 {"daemon":"exit-1","event":630,"level":"info","msg":"target health changed","target":"t1","sick":"86%","request":"q5","time":"2026-12-03T05:00:01.900Z"}
10.0.0.2 {"daemon":"exit-1","event":630,"level":"info","msg":"target health changed","target":"t9","sick":"86%","time":"2026-12-03T05:00:01.900Z"}
10.0.0.2 {"daemon":"exit-1","event":630,"level":"info","msg":"target health changed","target":"t1","sick":"86%","time":"2026-12-03T04:00:01.900Z"}
`

// A request enters at one daemon and fails at a target of another. Its events and those about its
// targets are printed in order of time. Events of other requests, targets and times are omitted.
func TestExplainSortsEventsByTime(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"a.log": entryLog, "b.log": exitLog} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	var out, errOut bytes.Buffer
	f := &factory.Factory{In: strings.NewReader(""), Out: &out, ErrOut: &errOut}
	if err := log.NewExplain("q7", files...).Run(f); err != nil {
		t.Fatal(err)
	}
	var events []string
	for text := range strings.Lines(out.String()) {
		events = append(events, strings.Split(strings.TrimSpace(text), "\t")[3])
	}
	if got := strings.Join(events, " "); got != "620 630 631 642 640" {
		t.Errorf("events %s in\n%s", got, out.String())
	}
	if errOut.String() != "1 lines are not log events\n" {
		t.Errorf("got diagnostics %q", errOut.String())
	}
}

func TestExplainFailsForUnknownRequest(t *testing.T) {
	f := &factory.Factory{In: strings.NewReader(entryLog), Out: &bytes.Buffer{}, ErrOut: &bytes.Buffer{}}
	err := log.NewExplain("q99").Run(f)
	if err == nil || errors.Is(err, factory.ErrUsage) || !strings.Contains(err.Error(), "q99") {
		t.Errorf("got %v", err)
	}
}
