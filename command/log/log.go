// Package log holds the commands that read the logs of daemons. Package io/crlog writes
// the logs and holds the catalogue of events.
package log

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"camphorroad/command/factory"
	"camphorroad/io/crlog"
)

// Commands are the subcommands of `log`.
type Commands struct {
	Explain ExplainOptions `cmd:"" help:"Print the events of one request from all daemons' logs, in order of time."`
}

// contextWindow is the time before and after a request's own lines in which lines about its targets,
// its entry and its account are selected. The estimate of a target's health decays with a time constant of eight seconds.
const contextWindow = 8 * time.Second

// maxLineBytes limits the length of a line. Reading a log with a longer line fails.
const maxLineBytes = 1 << 20

// ExplainOptions are the options of `log explain`.
type ExplainOptions struct {
	Request string   `arg:"" placeholder:"ID" help:"ID of the request."`
	Files   []string `arg:"" optional:"" placeholder:"FILE" help:"Logs of all daemons; standard input if none is given or for -."`
	JSON    bool     `name:"json" help:"Print the lines as JSON."`
}

// NewExplain returns the options for a request and files.
func NewExplain(request string, files ...string) *ExplainOptions {
	return &ExplainOptions{Request: request, Files: files}
}

// Help is shown with the command's flags.
func (*ExplainOptions) Help() string {
	return `Prints the log lines of one request in order of time. Lines from about the same
time are included if they concern the health of its targets, the owner of its
account, or the state of its entry daemon, of that daemon's peers and of the store.
Lines that are not log events are counted on standard error. Exits with 1 if no
log contains the request; of the requests that succeeded, one in 32 is logged.

EXAMPLES
  $ camphorroad log explain c421071f40c7c5d7 *.log
  $ ssh-all cat /var/log/camphorroad.log | camphorroad log explain c421071f40c7c5d7`
}

// line is one event of a log.
type line struct {
	at     time.Time
	daemon string
	event  int
	name   string
	fields map[string]string
	raw    string
}

// Run prints the lines of the request and those related to it.
func (o *ExplainOptions) Run(f *factory.Factory) error {
	all, skipped, err := o.read(f.In)
	if err != nil {
		return err
	}
	if skipped > 0 {
		if _, err := fmt.Fprintf(f.ErrOut, "%d lines are not log events\n", skipped); err != nil {
			return err
		}
	}
	selected := explain(all, o.Request)
	if len(selected) == 0 {
		return fmt.Errorf("no log line has the request ID %s", o.Request)
	}
	return o.print(f, selected)
}

func (o *ExplainOptions) print(f *factory.Factory, selected []line) error {
	if o.JSON {
		for _, l := range selected {
			if _, err := fmt.Fprintln(f.Out, l.raw); err != nil {
				return err
			}
		}
		return nil
	}
	rows := make([][]string, 0, len(selected))
	for _, l := range selected {
		mark := ""
		if l.fields["request"] == o.Request {
			mark = "*"
		}
		rows = append(rows, []string{l.at.Format("15:04:05.000"), mark, l.daemon, fmt.Sprint(l.event), l.name, l.details()})
	}
	return f.Table([]string{"TIME", "OWN", "DAEMON", "EVENT", "NAME", "DETAILS"}, rows)
}

// details returns the fields that are not empty, sorted by name.
func (l line) details() string {
	var parts []string
	for name, value := range l.fields {
		if value != "" && name != "request" {
			parts = append(parts, name+"="+value)
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func (o *ExplainOptions) read(in io.Reader) (all []line, skipped int, err error) {
	if len(o.Files) == 0 {
		return readLines(in)
	}
	for _, name := range o.Files {
		lines, n, err := o.readFile(name, in)
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", name, err)
		}
		all, skipped = append(all, lines...), skipped+n
	}
	return all, skipped, nil
}

func (o *ExplainOptions) readFile(name string, in io.Reader) ([]line, int, error) {
	if name == "-" {
		return readLines(in)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer file.Close()
	return readLines(file)
}

func readLines(r io.Reader) (all []line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		all = append(all, l)
	}
	return all, skipped, scanner.Err()
}

// parseLine decodes a line. Text before the first brace is ignored: log collectors often
// add a time or the name of a machine.
func parseLine(text string) (line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	var data map[string]any
	if json.Unmarshal([]byte(text[start:]), &data) != nil {
		return line{}, false
	}
	event, isNumber := data["event"].(float64)
	at, err := time.Parse(time.RFC3339, stringOf(data["time"]))
	if !isNumber || err != nil {
		return line{}, false
	}
	l := line{at: at, daemon: stringOf(data["daemon"]), event: int(event), name: stringOf(data["msg"]), fields: make(map[string]string), raw: text[start:]}
	for name, value := range data {
		if !slices.Contains([]string{"event", "time", "daemon", "msg", "level"}, name) {
			l.fields[name] = stringOf(value)
		}
	}
	return l, true
}

// stringOf returns the value if it is a string, otherwise "".
func stringOf(value any) string {
	s, _ := value.(string)
	return s
}

// explain returns the request's lines and those related to it, in order of time.
func explain(all []line, request string) []line {
	own := slices.DeleteFunc(slices.Clone(all), func(l line) bool { return l.fields["request"] != request })
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	c := requestContext{first: own[0].at.Add(-contextWindow), last: own[len(own)-1].at.Add(contextWindow)}
	for _, l := range own {
		c.add(l)
	}
	selected := slices.DeleteFunc(slices.Clone(all), func(l line) bool {
		return l.fields["request"] != request && !c.isRelevant(l)
	})
	slices.SortStableFunc(selected, byTime)
	return selected
}

func byTime(a, b line) int { return a.at.Compare(b.at) }

// requestContext holds the time span, targets, entries and accounts of a request.
type requestContext struct {
	first, last time.Time
	targets     []string
	entries     []string
	accounts    []string
}

func (c *requestContext) add(l line) {
	if t := l.fields["target"]; t != "" {
		c.targets = append(c.targets, t)
	}
	if l.event == crlog.RequestFailed || l.event == crlog.RequestServed {
		c.entries = append(c.entries, l.daemon)
		c.accounts = append(c.accounts, l.fields["account"])
	}
}

// isRelevant reports whether a line that is not the request's own is related to it.
func (c *requestContext) isRelevant(l line) bool {
	if l.at.Before(c.first) || l.at.After(c.last) {
		return false
	}
	entry := slices.Contains(c.entries, l.daemon)
	switch l.event {
	case crlog.TargetHealthChanged:
		return slices.Contains(c.targets, l.fields["target"])
	case crlog.OwnerUnresponsive:
		return entry && slices.Contains(c.accounts, l.fields["account"])
	case crlog.PeersUnresponsive, crlog.PeersRecovered, crlog.StoreUnavailable, crlog.StoreRecovered, crlog.PlanApplied, crlog.PlanRejected,
		crlog.MeshStarted, crlog.MeshReady, crlog.MeshStopping, crlog.MeshPaused, crlog.LogDropped:
		return entry
	}
	return false
}
