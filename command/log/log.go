// Package log holds the commands on daemons' logs.
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

// Commands are the verbs on logs.
type Commands struct {
	Explain ExplainOptions `cmd:"" help:"Put the lines about one request in order, over all daemons."`
}

// around is how far from a request's own lines those are shown that tell of its
// targets, its entry and its account: a judgement lasts some eight seconds.
const around = 8 * time.Second

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// ExplainOptions explains a request.
type ExplainOptions struct {
	Request string   `arg:"" placeholder:"ID" help:"The request's id."`
	Files   []string `arg:"" optional:"" placeholder:"FILE" help:"Logs of all daemons; - or none: standard input."`
	JSON    bool     `name:"json" help:"Print the lines as JSON."`
}

// NewExplain returns the options for a request and files.
func NewExplain(request string, files ...string) *ExplainOptions {
	return &ExplainOptions{Request: request, Files: files}
}

// Help is shown with the command's flags.
func (*ExplainOptions) Help() string {
	return `Prints what the daemons logged about one request, in the order of its way, and
beside it what they believed: verdicts on its targets, peers that its entry did
not hear, its account's owner, the store. Lines that cannot be read are counted.
Exits with 1 if no line is about the request; one in 32 of those that went well
is logged.

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

// Run prints the lines.
func (o *ExplainOptions) Run(f *factory.Factory) error {
	all, unread, err := o.read(f.In)
	if err != nil {
		return err
	}
	if unread > 0 {
		if _, err := fmt.Fprintf(f.ErrOut, "%d lines are no events\n", unread); err != nil {
			return err
		}
	}
	shown := explain(all, o.Request)
	if len(shown) == 0 {
		return fmt.Errorf("no line is about the request %s", o.Request)
	}
	return o.print(f, shown)
}

func (o *ExplainOptions) print(f *factory.Factory, shown []line) error {
	if o.JSON {
		for _, l := range shown {
			if _, err := fmt.Fprintln(f.Out, l.raw); err != nil {
				return err
			}
		}
		return nil
	}
	rows := make([][]string, 0, len(shown))
	for _, l := range shown {
		mark := ""
		if l.fields["request"] == o.Request {
			mark = "*"
		}
		rows = append(rows, []string{l.at.Format("15:04:05.000"), mark, l.daemon, fmt.Sprint(l.event), l.name, l.detail()})
	}
	return f.Table([]string{"TIME", "OWN", "DAEMON", "EVENT", "NAME", "DETAILS"}, rows)
}

// detail lists the fields that say something, by name.
func (l line) detail() string {
	var parts []string
	for name, value := range l.fields {
		if value != "" && name != "request" {
			parts = append(parts, name+"="+value)
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func (o *ExplainOptions) read(in io.Reader) (all []line, unread int, err error) {
	if len(o.Files) == 0 {
		return readLines(in)
	}
	for _, name := range o.Files {
		lines, n, err := o.readFile(name, in)
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", name, err)
		}
		all, unread = append(all, lines...), unread+n
	}
	return all, unread, nil
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

func readLines(r io.Reader) (all []line, unread int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := parse(scanner.Text())
		if !ok {
			unread++
			continue
		}
		all = append(all, l)
	}
	return all, unread, scanner.Err()
}

// parse reads a line. What stands before the first brace is left away: whoever
// gathers logs often adds a time or a machine's name.
func parse(text string) (line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	var data map[string]any
	if json.Unmarshal([]byte(text[start:]), &data) != nil {
		return line{}, false
	}
	event, isNumber := data["event"].(float64)
	at, err := time.Parse(time.RFC3339, textOf(data["time"]))
	if !isNumber || err != nil {
		return line{}, false
	}
	l := line{at: at, daemon: textOf(data["daemon"]), event: int(event), name: textOf(data["msg"]), fields: make(map[string]string), raw: text[start:]}
	for name, value := range data {
		if !slices.Contains([]string{"event", "time", "daemon", "msg", "level"}, name) {
			l.fields[name] = textOf(value)
		}
	}
	return l, true
}

// textOf returns a value's text, or none if it is no text.
func textOf(value any) string {
	s, _ := value.(string)
	return s
}

// explain picks the request's lines and those that tell what was believed then.
func explain(all []line, request string) []line {
	own := slices.DeleteFunc(slices.Clone(all), func(l line) bool { return l.fields["request"] != request })
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	c := context{first: own[0].at.Add(-around), last: own[len(own)-1].at.Add(around)}
	for _, l := range own {
		c.add(l)
	}
	shown := slices.DeleteFunc(slices.Clone(all), func(l line) bool {
		return l.fields["request"] != request && !c.tells(l)
	})
	slices.SortStableFunc(shown, byTime)
	return shown
}

func byTime(a, b line) int { return a.at.Compare(b.at) }

// context is what a request had to do with.
type context struct {
	first, last time.Time
	targets     []string
	entries     []string
	accounts    []string
}

func (c *context) add(l line) {
	if t := l.fields["target"]; t != "" {
		c.targets = append(c.targets, t)
	}
	if l.event == crlog.RequestFailed || l.event == crlog.RequestServed {
		c.entries = append(c.entries, l.daemon)
		c.accounts = append(c.accounts, l.fields["account"])
	}
}

// tells reports whether a line of another matter bears on the request.
func (c *context) tells(l line) bool {
	if l.at.Before(c.first) || l.at.After(c.last) {
		return false
	}
	entry := slices.Contains(c.entries, l.daemon)
	switch l.event {
	case crlog.TargetSuspicionChanged:
		return slices.Contains(c.targets, l.fields["target"])
	case crlog.OwnerSilent:
		return entry && slices.Contains(c.accounts, l.fields["account"])
	case crlog.PeerSilent, crlog.PeerRecovered, crlog.StoreLost, crlog.StoreRecovered, crlog.PlanApplied, crlog.PlanRejected,
		crlog.MeshStarted, crlog.MeshReady, crlog.MeshStopping, crlog.MeshPaused, crlog.LogDropped:
		return entry
	}
	return false
}
