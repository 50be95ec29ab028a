// Package crsite reads the settings file of a daemon started by `camphorroad join`
// (io/crmesh). The operator's tooling writes the file at each start. Daemons
// started by `camphorroad serve` read theirs with io/crsettings.
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
	"camphorroad/core/crregion"
)

// Defaults of Bounds.
const (
	defaultDrainMillis   = 2000 // time for which a leaving target still accepts requests
	defaultGraceSeconds  = 6    // from SIGTERM to SIGKILL
	defaultRatio         = 0.2
	defaultWindowSeconds = 10
	defaultWarmupRatio   = 1
	defaultQuotaSeconds  = 5
	defaultQuotaOverage  = 0.25
	defaultHeadBytes     = 1 << 20
)

// Error reports an invalid settings file.
type Error struct {
	file, detail string
}

// Error implements error.
func (e *Error) Error() string { return e.file + ": " + e.detail }

// Settings are the validated settings of one daemon.
type Settings struct {
	Name    string       `toml:"name"`
	Address string       `toml:"address"` // IP address of the machine, without a port
	Domain  crid.Domain  `toml:"domain"`
	Service crid.Service `toml:"service"` // service of the daemon's target
	Target  string       `toml:"target"`  // host:port of the target
	Seeds   []string     `toml:"seeds"`   // host:port of the control listeners of other daemons
	Log     string       `toml:"log"`     // log level
	First   bool         `toml:"first"`   // the whole fleet starts for the first time, so that no daemon has a predecessor
	Listen  Listen       `toml:"listen"`
	Store   Store        `toml:"store"`
	Limits  Limits       `toml:"limits"`
	Regions crregion.Map `toml:"regions"` // region of each failure domain
	Bounds  Bounds       `toml:"bounds"`
}

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	Caller  string `toml:"caller"`  // callers on this machine
	Ready   string `toml:"ready"`   // readiness endpoint
	Control string `toml:"control"` // queries of daemons that use this one as a seed
	Pages   string `toml:"pages"`   // admin endpoints, state and metrics; empty: Settings.Address with the port after the first of Ports
	Ports   []int  `toml:"ports"`   // first and last port for traffic between daemons
	Host    string `toml:"host"`    // IP address to listen on for peers; empty: Settings.Address
}

// PeerListenHost returns the IP address to listen on for peers. It differs from
// Address if peers connect through network address translation.
func (s Settings) PeerListenHost() string {
	if s.Listen.Host != "" {
		return s.Listen.Host
	}
	return s.Address
}

// Store configures access to the store that holds records and configuration.
type Store struct {
	Address string `toml:"address"`
}

// Limits are the resource limits of the machine.
type Limits struct {
	MemoryMB  int `toml:"memory"`    // memory of the machine
	HeadBytes int `toml:"headbytes"` // bytes of a request head, where the configuration has no limit
}

// Bounds are the limits that the operator guarantees to callers.
type Bounds struct {
	DrainMillis   int     `toml:"drain"`     // time for which a leaving target still accepts requests
	GraceSeconds  float64 `toml:"grace"`     // time from SIGTERM to SIGKILL
	Ratio         float64 `toml:"ratio"`     // retries allowed per request
	Slack         float64 `toml:"slack"`     // retries that the whole fleet may make in a window, in addition to Ratio
	WindowSeconds float64 `toml:"window"`    // length of the window in which retries are counted
	WarmupRatio   float64 `toml:"warmratio"` // multiple of the rate that a cold target tolerates, up to which it may get requests
	QuotaSeconds  float64 `toml:"quotatime"` // length of the window in which requests of an account are counted
	QuotaOverage  float64 `toml:"quotaover"` // share of its limit in a window by which an account may exceed it
	WarmupSlack   float64 `toml:"warmslack"` // requests that a cold target may get in a second in addition to that
}

// GracePeriod returns the time between SIGTERM and SIGKILL.
func (b Bounds) GracePeriod() time.Duration {
	return time.Duration(b.GraceSeconds * float64(time.Second))
}

const (
	// maxMissingRecordTTL is the time in which running targets renew records that
	// expired while the store was unavailable: two seconds, plus the time until the
	// renewed record reaches the daemon.
	maxMissingRecordTTL = 2200 * time.Millisecond
	// drainMargin is subtracted from the drain time of a leaving target, for requests
	// in transit.
	drainMargin = 400 * time.Millisecond
)

// MissingRecordTTL returns how long a record that disappeared during an outage of
// the store is kept after the store has recovered. The record of a target that
// left at that moment looks the same as one that expired. If it were kept longer
// than the drain time, requests would be routed to a target that has exited.
func (b Bounds) MissingRecordTTL() time.Duration {
	return min(maxMissingRecordTTL, time.Duration(b.DrainMillis)*time.Millisecond-drainMargin)
}

// RetryWindow returns the length of the window in which retries are counted.
func (b Bounds) RetryWindow() time.Duration {
	return time.Duration(b.WindowSeconds * float64(time.Second))
}

// QuotaWindow returns the length of the window in which requests of an account are counted.
func (b Bounds) QuotaWindow() time.Duration {
	return time.Duration(b.QuotaSeconds * float64(time.Second))
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{file: file, detail: err.Error()}
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. The name of the file is used in errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Settings{Log: "info", Limits: Limits{HeadBytes: defaultHeadBytes}, Bounds: Bounds{DrainMillis: defaultDrainMillis, GraceSeconds: defaultGraceSeconds, Ratio: defaultRatio, WindowSeconds: defaultWindowSeconds, QuotaSeconds: defaultQuotaSeconds, QuotaOverage: defaultQuotaOverage, WarmupRatio: defaultWarmupRatio}}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, &Error{file: file, detail: describeDecodeError(err)}
	}
	if err := s.validate(); err != nil {
		return Settings{}, &Error{file: file, detail: err.Error()}
	}
	return s, nil
}

func describeDecodeError(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, column := strict.Errors[0].Position()
		return fmt.Sprintf("line %d, column %d: unknown key %v", row, column, strict.Errors[0].Key())
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return fmt.Sprintf("line %d, column %d: %s", row, column, decode.Error())
	}
	return err.Error()
}

func (s *Settings) validate() error {
	if net.ParseIP(s.Address) == nil {
		return fmt.Errorf("address: %q is not an IP address", s.Address)
	}
	if s.Listen.Host != "" && net.ParseIP(s.Listen.Host) == nil {
		return fmt.Errorf("listen.host: %q is not an IP address", s.Listen.Host)
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
			return fmt.Errorf("%s: %q is not a host:port address", key, addresses[key])
		}
	}
	if len(s.Listen.Ports) != 2 || s.Listen.Ports[1]-s.Listen.Ports[0] < 1 {
		return errors.New("listen.ports: need the first and the last port of a range of at least two")
	}
	if s.Bounds.GraceSeconds <= 0 || s.Bounds.WindowSeconds <= 0 || s.Bounds.Ratio < 0 || s.Bounds.Slack < 0 || s.Bounds.DrainMillis <= 0 {
		return errors.New("bounds: drain, grace and window must be positive, ratio and slack not negative")
	}
	if s.Bounds.WarmupRatio < 1 || s.Bounds.WarmupSlack < 0 {
		return errors.New("bounds: warmratio must be at least 1, warmslack not negative")
	}
	if s.Bounds.QuotaSeconds <= 0 || s.Bounds.QuotaOverage < 0 {
		return errors.New("bounds: quotatime must be positive, quotaover not negative")
	}
	if s.Limits.MemoryMB < 0 || s.Limits.HeadBytes <= 0 {
		return errors.New("limits: memory must not be negative, headbytes must be positive")
	}
	for domain, region := range s.Regions {
		if region == "" {
			return fmt.Errorf("regions.%s: missing", domain)
		}
	}
	return nil
}
