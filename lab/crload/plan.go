// Package crload is an open-loop load generator for running daemons: requests are sent at
// their planned times, independent of the responses, and latency counts from the planned
// time. A stalled fleet therefore does not reduce the load, and its latency counts in
// full. Every response is checked to be complete and to belong to its request. The command
// `camphorlab load`, other lab packages and the end-to-end tests use it; package
// crexperiment simulates daemons instead.
//
// # Usage
//
//	plan, err := crload.ReadPlan("mix.toml")
//	report, err := crload.Run(ctx, plan)
package crload

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Plan is a load plan.
type Plan struct {
	Seconds  float64   `toml:"seconds"`
	Seed     uint64    `toml:"seed"`
	Entries  []string  `toml:"entries"` // base URLs of daemons
	Timeout  string    `toml:"timeout"` // per request; default 10s
	Host     string    `toml:"host"`    // virtual host of a fleet on the users' platform, with targets of crtarget; empty: targets of crupstream
	Accounts []Account `toml:"account"`
}

// Account is the load of one client account.
type Account struct {
	Name  string  `toml:"name"`
	Key   string  `toml:"key"`   // API key; empty: none is sent
	Rate  float64 `toml:"rate"`  // requests per second
	Entry int     `toml:"entry"` // 1-based entry that all requests go to; 0: round robin
	Surge Surge   `toml:"surge"`
	Calls []Call  `toml:"call"`
}

// Surge multiplies an account's rate between two times.
type Surge struct {
	From   float64 `toml:"from"` // seconds from the start
	To     float64 `toml:"to"`   // seconds from the start
	Factor float64 `toml:"factor"`
}

// Call is one kind of request.
type Call struct {
	Method string `toml:"method"`
	Path   string `toml:"path"`
	Weight int    `toml:"weight"` // default 1
	Bytes  int    `toml:"bytes"`  // length of the request body

	Chunked  bool `toml:"chunked"`  // the body is sent in chunks, without its length
	Response int  `toml:"response"` // bytes that the target adds to its response
	Pipeline int  `toml:"pipeline"` // further requests that are sent on the connection before the first response
}

// Bounds of a call.
const (
	maxBody     = 64 << 20
	maxPipeline = 1000
)

// check returns all errors in a call.
func (c Call) check() error {
	var errs []error
	if c.Bytes < 0 || c.Bytes > maxBody || c.Response < 0 || c.Response > maxBody {
		errs = append(errs, fmt.Errorf("bytes and response must be between 0 and %d", maxBody))
	}
	if c.Chunked && c.Bytes == 0 {
		errs = append(errs, errors.New("chunked needs bytes"))
	}
	if c.Pipeline < 0 || c.Pipeline > maxPipeline {
		errs = append(errs, fmt.Errorf("pipeline must be between 0 and %d", maxPipeline))
	}
	if c.Pipeline > 0 && (c.Method != http.MethodGet || c.Bytes > 0) {
		errs = append(errs, errors.New("pipeline needs the method GET and no bytes"))
	}
	return errors.Join(errs...)
}

// uri returns the path with the parameter for the size of the response.
func (c Call) uri() string {
	if c.Response == 0 {
		return c.Path
	}
	separator := "?"
	if strings.Contains(c.Path, "?") {
		separator = "&"
	}
	return c.Path + separator + "bytes=" + strconv.Itoa(c.Response)
}

const defaultTimeout = 10 * time.Second

// ReadPlan reads and checks a plan in TOML.
func ReadPlan(path string) (Plan, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("plan: %w", err)
	}
	var p Plan
	dec := toml.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return Plan{}, fmt.Errorf("plan %s:\n%s", path, strict.String())
		}
		return Plan{}, fmt.Errorf("plan %s: %w", path, err)
	}
	if err := p.Check(); err != nil {
		return Plan{}, fmt.Errorf("plan %s: %w", path, err)
	}
	return p, nil
}

// Check returns all errors in a plan.
func (p Plan) Check() error {
	var errs []error
	if p.Seconds <= 0 {
		errs = append(errs, errors.New("seconds must be above zero"))
	}
	if len(p.Entries) == 0 {
		errs = append(errs, errors.New("entries needs at least one base URL"))
	}
	if _, err := p.timeout(); err != nil {
		errs = append(errs, err)
	}
	for _, e := range p.Entries {
		if u, err := url.Parse(e); err != nil || u.Scheme != "http" || u.Host == "" {
			errs = append(errs, fmt.Errorf("entry %q is not a base URL with http://", e))
		}
	}
	for _, a := range p.Accounts {
		if a.Rate <= 0 || len(a.Calls) == 0 {
			errs = append(errs, fmt.Errorf("account %q needs a rate and at least one call", a.Name))
		}
		for _, c := range a.Calls {
			if err := c.check(); err != nil {
				errs = append(errs, fmt.Errorf("account %q: call %s %s: %w", a.Name, c.Method, c.Path, err))
			}
		}
		if a.Entry < 0 || a.Entry > len(p.Entries) {
			errs = append(errs, fmt.Errorf("account %q: entry %d is not in the list of entries", a.Name, a.Entry))
		}
	}
	return errors.Join(errs...)
}

func (p Plan) timeout() (time.Duration, error) {
	if p.Timeout == "" {
		return defaultTimeout, nil
	}
	return time.ParseDuration(p.Timeout)
}

// rateAt returns the account's rate at a time after the start.
func (a Account) rateAt(at time.Duration) float64 {
	s := at.Seconds()
	if a.Surge.Factor > 0 && s >= a.Surge.From && s < a.Surge.To {
		return a.Rate * a.Surge.Factor
	}
	return a.Rate
}
