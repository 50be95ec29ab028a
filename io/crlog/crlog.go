// Package crlog writes the log of a daemon: numbered events as JSON lines. The
// catalogue describes each number; docs/events.md and `camphorroad events list`
// are generated from it. Both kinds of daemon, io/crdaemon and io/crmesh, log
// through it. Package command/log reads these lines.
//
// # Usage
//
//	log := crlog.New(os.Stderr, "info", "booking-1")
//	log.Event(crlog.DaemonReady, crlog.Fields{"rev": "12"})
package crlog

import (
	"fmt"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// Fields are the details of an event. They must never contain a client key.
type Fields map[string]string

// Percent formats a probability for a field of an event, in whole percent.
func Percent(p float64) string { return strconv.Itoa(int(p*100+0.5)) + "%" }

// timeFormat includes milliseconds: the lines that two daemons log for one
// request are only a few milliseconds apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// successSampleInterval is the number of successful requests of which one is
// logged. At 20,000 requests in 30 s over the whole fleet these are about 20
// lines a second in total.
const successSampleInterval = 32

// Sampled reports whether a request is logged when it succeeds. The result depends
// on the request ID only, so all daemons log the same requests, and the lines of
// a request are either all present or all absent.
func Sampled(request string) bool { return xxhash.Sum64String(request)%successSampleInterval == 0 }

// Logger logs events of the catalogue. It is safe for concurrent use.
type Logger struct {
	entry     *logrus.Entry
	catalogue map[int]Entry
}

// New returns a logger that writes to w at the given level. An unknown level means
// info. The daemon's name is a field of each line.
func New(w io.Writer, level, daemon string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(parsed)
	}
	catalogue := make(map[int]Entry)
	for _, e := range Catalogue() {
		catalogue[e.Number] = e
	}
	return &Logger{entry: l.WithField("daemon", daemon), catalogue: catalogue}
}

// Event logs the event with the given number at the level of its entry. A number
// without an entry is logged as a warning, so that it is noticed.
func (l *Logger) Event(number int, fields Fields) {
	data := make(logrus.Fields, len(fields)+1)
	data["event"] = number
	for k, v := range fields {
		data[k] = v
	}
	entry := l.entry.WithFields(data)
	known, ok := l.catalogue[number]
	if !ok {
		entry.Warn(fmt.Sprintf("event %d is missing from the catalogue", number))
		return
	}
	entry.Log(known.Level.logrus(), known.Name)
}

func (l Level) logrus() logrus.Level {
	switch l {
	case LevelDebug:
		return logrus.DebugLevel
	case LevelWarn:
		return logrus.WarnLevel
	case LevelError:
		return logrus.ErrorLevel
	case LevelInfo:
		return logrus.InfoLevel
	}
	return logrus.InfoLevel
}
