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
	"net"
	"net/url"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

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
	TracePath    string   `toml:"trace"`        // file to record control events into; empty: none
	HoldInFlight int      `toml:"holdinflight"` // requests in flight at the entry
}

// Duration is a time.Duration that reads "250ms" and the like.
type Duration struct {
	time.Duration
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration; write for example \"250ms\"", b)
	}
	d.Duration = v
	return nil
}

// defaultFleet suits the fleets of today, of some thirty daemons.
const defaultFleet = 100

// Defaults are the settings before the file is read.
func Defaults() Settings {
	return Settings{
		Log:      Log{Level: "info"},
		Platform: Platform{Fleet: defaultFleet},
		Policy:   defaultPolicy(),
		Limits: Limits{
			HeaderBytes:  32 << 10,
			HeaderTime:   Duration{5 * time.Second},
			BodyIdle:     Duration{30 * time.Second},
			DrainTime:    Duration{30 * time.Second},
			ReplayBytes:  64 << 10,
			HoldInFlight: 10_000,
		},
	}
}

// Load reads and checks a file. The error names the file, and for each fault
// the line or key and what to write instead.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	cfg, err := Parse(b)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return cfg, nil
}

// Parse reads and checks the text of a settings file.
func Parse(b []byte) (Settings, error) {
	cfg := Defaults()
	dec := toml.NewDecoder(bytesReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&cfg); err != nil {
		return Settings{}, decodeError(err)
	}
	if err := cfg.check(newKeyIndex(b)); err != nil {
		return Settings{}, err
	}
	return cfg, nil
}

// Daemon is the daemon's name.
func (s Settings) Daemon() crid.Daemon { return crid.Daemon(s.Name) }

func (s Settings) check(at keyIndex) error {
	var errs []error
	need := func(key, value, hint string) {
		if value == "" {
			errs = append(errs, at.fault(key, "is missing; "+hint))
		}
	}
	need("name", s.Name, "give the instance's name as the platform lists it")
	need("domain", s.Domain, "give the failure domain as the platform lists it")
	need("tls.cert", s.TLS.Cert, "give the PEM file of this daemon's certificate")
	need("tls.key", s.TLS.Key, "give the PEM file of its key")
	need("tls.ca", s.TLS.CA, "give the PEM file of the fleet's authority")
	errs = append(errs,
		at.addr("listen.http", s.Listen.HTTP),
		at.addr("listen.peer", s.Listen.Peer),
		at.addr("listen.admin", s.Listen.Admin),
		at.http("platform.url", s.Platform.URL),
		s.checkTargets(at),
		s.checkLimits(at),
		s.Policy.check(at),
	)
	if (s.TLS.CallerCert == "") != (s.TLS.CallerKey == "") {
		errs = append(errs, at.fault("tls.callercert", "and tls.callerkey go together; give both or neither"))
	}
	return errors.Join(errs...)
}

func (s Settings) checkTargets(at keyIndex) error {
	var errs []error
	seen := make(map[string]bool)
	for i, t := range s.Targets {
		key := fmt.Sprintf("target[%d]", i)
		if t.Name == "" || t.Service == "" {
			errs = append(errs, at.fault(key, "needs name and service"))
		}
		if seen[t.Name] {
			errs = append(errs, at.fault(key+".name", fmt.Sprintf("%q is given twice", t.Name)))
		}
		seen[t.Name] = true
		errs = append(errs, at.addr(key+".addr", t.Addr))
	}
	return errors.Join(errs...)
}

func (s Settings) checkLimits(at keyIndex) error {
	var errs []error
	positive := func(key string, ok bool) {
		if !ok {
			errs = append(errs, at.fault("limits."+key, "must be above zero"))
		}
	}
	if s.Platform.Fleet <= 0 {
		errs = append(errs, at.fault("platform.fleet", "must be above zero"))
	}
	positive("headerbytes", s.Limits.HeaderBytes > 0)
	positive("headertime", s.Limits.HeaderTime.Duration > 0)
	positive("bodyidle", s.Limits.BodyIdle.Duration > 0)
	positive("draintime", s.Limits.DrainTime.Duration > 0)
	positive("holdinflight", s.Limits.HoldInFlight > 0)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		errs = append(errs, at.fault("log.level", "must be one of debug, info, warn, error"))
	}
	return errors.Join(errs...)
}

func (at keyIndex) addr(key, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return at.fault(key, fmt.Sprintf("%q is no host:port; write for example \"127.0.0.1:8000\"", value))
	}
	return nil
}

func (at keyIndex) http(key, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return at.fault(key, fmt.Sprintf("%q is no http URL; write for example \"http://127.0.0.1:7100\"", value))
	}
	return nil
}
