// Package crsite reads the settings of a daemon that joins a fleet: the file
// that the operator's tooling writes at each start.
//
// # Usage
//
//	cfg, err := crsite.Load(path)
package crsite

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"camphorroad/core/crid"
)

// Defaults of bounds that the file leaves out.
const (
	defaultDrain  = 2000 // ms: a leaving target takes no new work after this
	defaultGrace  = 6    // s: from SIGTERM to the kill
	defaultRatio  = 0.2
	defaultWindow = 10 // s
)

// Error says what is wrong with the settings, and where.
type Error struct {
	file, detail string
}

// Error implements error.
func (e *Error) Error() string { return e.file + ": " + e.detail }

// Settings are one daemon's settings.
type Settings struct {
	Name    string       `toml:"name"`
	Address string       `toml:"address"` // of the machine, without a port
	Domain  crid.Domain  `toml:"domain"`
	Service crid.Service `toml:"service"` // of the target beside it
	Target  string       `toml:"target"`  // host and port of the target
	Seeds   []string     `toml:"seeds"`   // host and port of other daemons
	Log     string       `toml:"log"`     // level
	Listen  Listen       `toml:"listen"`
	Store   Store        `toml:"store"`
	Limits  Limits       `toml:"limits"`
	Bounds  Bounds       `toml:"bounds"`
}

// Listen are the addresses that the daemon listens at.
type Listen struct {
	Caller  string `toml:"caller"`  // callers of this machine
	Ready   string `toml:"ready"`   // the ready page
	Control string `toml:"control"` // where seeds are asked
	Pages   string `toml:"pages"`   // state and metrics; empty: at the second of Ports
	Ports   []int  `toml:"ports"`   // first and last port between daemons
	Host    string `toml:"host"`    // to listen at for peers; empty: the machine's address
}

// PeerListenHost is the address to listen at for peers. It differs from the machine's
// where peers come through a translated address.
func (s Settings) PeerListenHost() string {
	if s.Listen.Host != "" {
		return s.Listen.Host
	}
	return s.Address
}

// Store is where records and configuration are read.
type Store struct {
	Address string `toml:"address"`
}

// Limits are the machine's.
type Limits struct {
	Memory int `toml:"memory"` // MB
}

// Bounds are what the operator promises callers.
type Bounds struct {
	Drain  int     `toml:"drain"`  // ms
	Grace  float64 `toml:"grace"`  // s
	Ratio  float64 `toml:"ratio"`  // repeats a request
	Slack  float64 `toml:"slack"`  // repeats in a window besides
	Window float64 `toml:"window"` // s
}

// GracePeriod is the time between the order to stop and the kill.
func (b Bounds) GracePeriod() time.Duration { return time.Duration(b.Grace * float64(time.Second)) }

const (
	// lapseMost is how long live targets may take to renew the records that ran
	// out while the store was away: two seconds, and the way to the daemon.
	lapseMost = 2200 * time.Millisecond
	// leaveMargin is kept of the time in which a leaving target has to be left,
	// for requests on their way.
	leaveMargin = 400 * time.Millisecond
)

// MissingRecordTTL is how long a record that went missing while the store was away is
// held after its return. A target that left in just that moment looks the same,
// and has to be left in time; held longer, it would get work after it has ended.
func (b Bounds) MissingRecordTTL() time.Duration {
	return min(lapseMost, time.Duration(b.Drain)*time.Millisecond-leaveMargin)
}

// RetryWindow is the length of the window of repeats.
func (b Bounds) RetryWindow() time.Duration { return time.Duration(b.Window * float64(time.Second)) }

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{file: file, detail: err.Error()}
	}
	return Parse(file, data)
}

// Parse reads and checks settings; the file's name is for errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Settings{Log: "info", Bounds: Bounds{Drain: defaultDrain, Grace: defaultGrace, Ratio: defaultRatio, Window: defaultWindow}}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, &Error{file: file, detail: describe(err)}
	}
	if err := s.check(); err != nil {
		return Settings{}, &Error{file: file, detail: err.Error()}
	}
	return s, nil
}

func describe(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, column := strict.Errors[0].Position()
		return fmt.Sprintf("line %d, column %d: the key %v is unknown", row, column, strict.Errors[0].Key())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return fmt.Sprintf("line %d, column %d: %s", row, column, decode.Error())
	}
	return err.Error()
}

func (s *Settings) check() error {
	if net.ParseIP(s.Address) == nil {
		return fmt.Errorf("address: %q is no IP address", s.Address)
	}
	if s.Listen.Host != "" && net.ParseIP(s.Listen.Host) == nil {
		return fmt.Errorf("listen.host: %q is no IP address", s.Listen.Host)
	}
	if s.Domain == "" {
		return errors.New("domain: missing")
	}
	if s.Service == "" {
		return errors.New("service: missing")
	}
	addresses := map[string]string{
		"target": s.Target, "listen.caller": s.Listen.Caller, "listen.ready": s.Listen.Ready, "store.address": s.Store.Address,
	}
	for _, key := range []string{"target", "listen.caller", "listen.ready", "store.address"} {
		if _, _, err := net.SplitHostPort(addresses[key]); err != nil {
			return fmt.Errorf("%s: %q is no address with a port", key, addresses[key])
		}
	}
	if len(s.Listen.Ports) != 2 || s.Listen.Ports[1]-s.Listen.Ports[0] < 1 {
		return errors.New("listen.ports: the first and the last of two ports or more are wanted")
	}
	if s.Bounds.Grace <= 0 || s.Bounds.Window <= 0 || s.Bounds.Ratio < 0 || s.Bounds.Slack < 0 || s.Bounds.Drain <= 0 {
		return errors.New("bounds: drain, grace and window must be positive, ratio and slack not negative")
	}
	return nil
}
