// Package crsettings reads a daemon's settings: one TOML file, every key
// checked, unknown keys refused.
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

// Settings are the checked settings of one daemon.
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

// Listen holds the addresses the daemon listens on, each host:port.
type Listen struct {
	HTTP  string `toml:"http"`  // callers
	Peer  string `toml:"peer"`  // other daemons, UDP
	Admin string `toml:"admin"` // operators: state, metrics, health
}

// Platform says where the platform is read.
type Platform struct {
	URL   string `toml:"url"`
	Fleet int    `toml:"fleet"` // daemons that may start at once; each reads the more slowly the more there are
}

// TLS names PEM files. The peer certificate's DNS name is the daemon's name.
type TLS struct {
	Cert       string `toml:"cert"`
	Key        string `toml:"key"`
	CA         string `toml:"ca"`
	CallerCert string `toml:"callercert"` // empty: callers come in clear text, h2c included
	CallerKey  string `toml:"callerkey"`
}

// Target is an upstream beside this daemon.
type Target struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	Addr    string `toml:"addr"` // host:port of the upstream
}

// Log configures the log on standard error.
type Log struct {
	Level string `toml:"level"` // debug, info, warn, error
}

// Limits bound what callers can make the daemon hold.
type Limits struct {
	HeaderBytes  int      `toml:"headerbytes"`
	HeaderTime   Duration `toml:"headertime"`   // a caller's request head must be whole by then
	BodyIdle     Duration `toml:"bodyidle"`     // longest silence within a body, either way
	DrainTime    Duration `toml:"draintime"`    // a planned stop gives up after this
	ReplayBytes  int      `toml:"replaybytes"`  // of a request's body kept for another attempt
	HoldInFlight int      `toml:"holdinflight"` // requests in flight at the entry
}

// Trace records the control events for a replay. It is meant for finding faults:
// instances have no disk to spare.
type Trace struct {
	File string `toml:"file"` // written anew at each start; empty: nothing is recorded
	Size int64  `toml:"size"` // bytes; recording stops there
}

// Duration is a time.Duration that reads "250ms" and the like.
type Duration struct {
	time.Duration
	wrong string // what was written, where it is no duration
}

// UnmarshalText implements encoding.TextUnmarshaler. It does not fail: the
// decoder would stop without telling the line, and the check tells it.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		*d = Duration{wrong: string(b)}
		return nil
	}
	*d = Duration{Duration: v}
	return nil
}

// defaultFleet suits the fleets of today, of some thirty daemons.
const defaultFleet = 100

// defaultTrace holds some hours of a small fleet's control events, in bytes.
const defaultTrace = 64 << 20

// Defaults are the settings before the file is read.
func Defaults() Settings {
	return Settings{
		Log:      Log{Level: "info"},
		Platform: Platform{Fleet: defaultFleet},
		Trace:    Trace{Size: defaultTrace},
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

// Load reads and checks a file. Its error is [Problems] where the text is at fault:
// all faults at once, each with file, line, key and what to do.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	cfg, err := Parse(b)
	var faults Problems
	if errors.As(err, &faults) {
		for i := range faults {
			faults[i].File = path
		}
	}
	return cfg, err
}

// Parse reads and checks the text of a settings file.
func Parse(b []byte) (Settings, error) {
	c := newCollector(b)
	var cfg Settings
	if c.decode(b, &cfg) {
		cfg.check(c)
	}
	if err := c.err(); err != nil {
		return Settings{}, err
	}
	return cfg, nil
}

// Daemon is the daemon's name.
func (s Settings) Daemon() crid.Daemon { return crid.Daemon(s.Name) }
