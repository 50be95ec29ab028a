// Package crsettings reads the settings file of a daemon started by `camphorroad
// serve` (io/crdaemon): one TOML file. Every key is validated, unknown keys are
// rejected, and all problems are reported at once. Daemons started by
// `camphorroad join` read theirs with io/crsite.
//
// # Usage
//
//	cfg, err := crsettings.Load("daemon.toml")
//	fmt.Println(cfg.Listen.HTTP)
package crsettings

import (
	"errors"
	"fmt"
	"os"
	"time"

	"camphorroad/core/crid"
)

// Settings are the validated settings of one daemon.
type Settings struct {
	Name     string   `toml:"name"`
	Domain   string   `toml:"domain"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	TLS      TLS      `toml:"tls"`
	Targets  []Target `toml:"target"`
	Log      Log      `toml:"log"`
	Limits   Limits   `toml:"limits"`
	Trace    Trace    `toml:"trace"`
	Policy   Policy   `toml:"policy"`
}

// Listen holds the addresses that the daemon listens on, each as host:port.
type Listen struct {
	HTTP  string `toml:"http"`  // callers
	Peer  string `toml:"peer"`  // other daemons, UDP
	Admin string `toml:"admin"` // operators: readiness, state, metrics
}

// Platform configures access to the platform.
type Platform struct {
	URL       string `toml:"url"`
	FleetSize int    `toml:"fleet"` // daemons that may start at the same time; each limits its reads to its part of the platform's rate
}

// TLS holds paths of PEM files. The DNS name in Cert must be the daemon's name.
type TLS struct {
	Cert       string `toml:"cert"`
	Key        string `toml:"key"`
	CA         string `toml:"ca"`
	CallerCert string `toml:"callercert"` // empty: callers connect without TLS, by HTTP/1.1 or h2c
	CallerKey  string `toml:"callerkey"`
}

// Target is an upstream of this daemon's instance.
type Target struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	Addr    string `toml:"addr"` // host:port of the upstream
}

// Log configures logging to standard error.
type Log struct {
	Level string `toml:"level"` // debug, info, warn, error
}

// Limits bound the memory and connections that callers can occupy.
type Limits struct {
	HeaderBytes  int      `toml:"headerbytes"`
	HeaderTime   Duration `toml:"headertime"`   // timeout for reading the header of a request
	BodyIdle     Duration `toml:"bodyidle"`     // idle timeout while a request or response body is transferred
	DrainTime    Duration `toml:"draintime"`    // timeout of a graceful shutdown
	ReplayBytes  int      `toml:"replaybytes"`  // bytes of a request body buffered for retries
	HoldInFlight int      `toml:"holdinflight"` // maximum number of requests in flight at this daemon as entry
}

// Trace configures the recording of control events for replay. It is meant for
// debugging only: instances have no spare disk space.
type Trace struct {
	File     string `toml:"file"` // overwritten at each start; empty: no recording
	MaxBytes int64  `toml:"size"` // recording stops at this size, in bytes
}

// Duration is a time.Duration that is decoded from text such as "250ms".
type Duration struct {
	time.Duration
	invalid string // the text, if it is not a duration
}

// UnmarshalText implements encoding.TextUnmarshaler. It never fails: the decoder
// would stop without reporting the line. The validation reports invalid text.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		*d = Duration{invalid: string(b)}
		return nil
	}
	*d = Duration{Duration: v}
	return nil
}

// defaultFleetSize is sufficient for fleets of about thirty daemons.
const defaultFleetSize = 100

// defaultTraceBytes is enough for several hours of control events in a small fleet.
const defaultTraceBytes = 64 << 20

// Defaults returns the settings that apply to keys missing from the file.
func Defaults() Settings {
	return Settings{
		Log:      Log{Level: "info"},
		Platform: Platform{FleetSize: defaultFleetSize},
		Trace:    Trace{MaxBytes: defaultTraceBytes},
		Policy:   defaultPolicy(),
		Limits: Limits{
			HeaderBytes:  32 << 10,
			HeaderTime:   Duration{Duration: 5 * time.Second},
			BodyIdle:     Duration{Duration: 30 * time.Second},
			DrainTime:    Duration{Duration: 30 * time.Second},
			ReplayBytes:  64 << 10,
			HoldInFlight: 10_000,
		},
	}
}

// Load reads and validates a file. Invalid content is reported as [Problems]: all
// problems at once, each with file, line, key and how to correct it.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	cfg, err := Parse(b)
	var problems Problems
	if errors.As(err, &problems) {
		for i := range problems {
			problems[i].File = path
		}
	}
	return cfg, err
}

// Parse decodes and validates the text of a settings file.
func Parse(b []byte) (Settings, error) {
	c := newCollector(b)
	var cfg Settings
	if c.decode(b, &cfg) {
		cfg.validate(c)
	}
	if err := c.err(); err != nil {
		return Settings{}, err
	}
	return cfg, nil
}

// Daemon returns the daemon's name as its identifier.
func (s Settings) Daemon() crid.Daemon { return crid.Daemon(s.Name) }
