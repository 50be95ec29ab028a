package crpolicyfile

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
)

// File is a policy file: its name as printed in errors, and its bytes.
type File struct {
	Name string
	Data []byte
}

// Policy is the content of all policy files, validated.
type Policy struct {
	Services []crpolicy.Service
	Accounts []crpolicy.Account
}

type fileService struct {
	Name        string `toml:"name"`
	Floor       int    `toml:"floor"`
	Slots       int    `toml:"slots"`
	Queue       int    `toml:"queue"`
	Connections int    `toml:"connections"`
	Health      string `toml:"health"`
	Load        string `toml:"load"`
	Echo        string `toml:"echo"`
}

type fileProbe struct {
	Path   string `toml:"path"`
	Status int    `toml:"status"`
	Body   string `toml:"body"`
	Every  string `toml:"every"`
}

type fileRoute struct {
	Name    string   `toml:"name"`
	Host    string   `toml:"host"`
	Methods []string `toml:"methods"`
	Prefix  string   `toml:"prefix"`
	Class   string   `toml:"class"`
	Timeout string   `toml:"timeout"`
}

type fileAccount struct {
	Name  string   `toml:"name"`
	Rate  float64  `toml:"rate"`
	Burst float64  `toml:"burst"`
	Keys  []string `toml:"keys"`
}

type fileContent struct {
	Service *fileService  `toml:"service"`
	Probe   *fileProbe    `toml:"probe"`
	Routes  []fileRoute   `toml:"route"`
	Account []fileAccount `toml:"account"`
}

// Read parses and validates all files together. The error is of type [Problems]
// and holds every problem.
func Read(files []File) (Policy, error) {
	var (
		policy   Policy
		problems Problems
	)
	seen := newRegistry()
	for _, f := range files {
		r := reader{file: f, index: newIndex(f.Data), seen: seen}
		r.read(&policy)
		problems = append(problems, r.problems...)
	}
	if len(files) == 0 {
		problems = append(problems, Problem{Key: "-", What: "no policy file given", Hint: "name at least one"})
	}
	return policy, problems.err()
}

// reader turns one file into policy types.
type reader struct {
	file     File
	index    index
	seen     *registry
	problems Problems
}

func (r *reader) addProblem(key, what, hint string) {
	pos := r.index.find(key)
	r.problems = append(r.problems, Problem{
		File: r.file.Name, Line: pos.line, Column: pos.column, Key: key, What: what, Hint: hint,
	})
}

func (r *reader) read(policy *Policy) {
	var c fileContent
	if !r.decode(&c) {
		return
	}
	check := checker{source: r.file.Name, seen: r.seen, addProblem: r.addProblem}
	switch {
	case c.Service != nil:
		svc := r.toService(c)
		check.checkService(svc)
		policy.Services = append(policy.Services, svc)
	case c.Probe != nil || len(c.Routes) > 0:
		r.addProblem("service", "a probe or route without a service", "add a [service] table with a name")
	case len(c.Account) == 0:
		r.addProblem("-", "neither a service nor an account", "add a [service] or [[account]] table")
	}
	for i, a := range c.Account {
		acct := r.toAccount(i, a)
		check.checkAccount(fmt.Sprintf("account[%d]", i), acct)
		policy.Accounts = append(policy.Accounts, acct)
	}
}

// decode decodes the file and rejects unknown keys. It reports whether the content can
// be validated.
func (r *reader) decode(c *fileContent) bool {
	dec := toml.NewDecoder(bytes.NewReader(r.file.Data))
	dec.DisallowUnknownFields()
	err := dec.Decode(c)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for i := range unknown.Errors {
			r.addDecodeError(&unknown.Errors[i], "unknown key", "remove it, or correct its spelling")
		}
		return true
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		// The library's message may quote the value, and the value may be a plain
		// key that was pasted by mistake. So only its position is reported.
		r.addDecodeError(bad, "invalid TOML, or a value of the wrong type", "correct the syntax or the type of the value")
		return false
	}
	if err != nil {
		r.addProblem("-", "invalid TOML, or a value of the wrong type", "correct the syntax or the type of the value")
		return false
	}
	return true
}

func (r *reader) addDecodeError(e *toml.DecodeError, what, hint string) {
	line, column := e.Position()
	key := strings.Join(e.Key(), ".")
	if key == "" {
		key = "-"
	}
	r.problems = append(r.problems, Problem{
		File: r.file.Name, Line: line, Column: column, Key: key, What: what, Hint: hint,
	})
}

func (r *reader) toService(c fileContent) crpolicy.Service {
	svc := crpolicy.Service{
		Name:         crid.Service(c.Service.Name),
		Floor:        c.Service.Floor,
		Slots:        c.Service.Slots,
		Queue:        c.Service.Queue,
		Connections:  c.Service.Connections,
		HealthPath:   c.Service.Health,
		LoadPath:     c.Service.Load,
		IdentityEcho: c.Service.Echo,
	}
	if !r.index.has("service.floor") {
		r.addProblem("service.floor", "missing", "give the minimum number of healthy targets that ejection must leave")
	}
	if c.Probe != nil {
		svc.Probe = crpolicy.Probe{
			Path:     c.Probe.Path,
			Status:   c.Probe.Status,
			Body:     c.Probe.Body,
			Interval: parseDuration(c.Probe.Every),
		}
		if c.Probe.Path == "" {
			r.addProblem("probe.path", "missing", "give the path to request, such as \"/probe\"")
		}
	}
	for _, fr := range c.Routes {
		svc.Routes = append(svc.Routes, toRoute(fr))
	}
	return svc
}

func toRoute(fr fileRoute) crpolicy.Route {
	return crpolicy.Route{
		Name:    crid.Route(fr.Name),
		Host:    fr.Host,
		Methods: fr.Methods,
		Prefix:  fr.Prefix,
		Class:   parseClass(fr.Class),
		Timeout: parseDuration(fr.Timeout),
	}
}

// parseClass returns zero for an unknown name, which validation rejects.
func parseClass(name string) crpolicy.Class {
	switch name {
	case "once":
		return crpolicy.ClassOnce
	case "repeat":
		return crpolicy.ClassRepeat
	}
	return 0
}

// parseDuration returns zero for a text that is not a duration, which validation rejects.
func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

func (r *reader) toAccount(i int, fa fileAccount) crpolicy.Account {
	acct := crpolicy.Account{Name: crid.Account(fa.Name), Rate: fa.Rate, Burst: fa.Burst}
	for n, text := range fa.Keys {
		hash, ok := parseHash(text)
		if !ok {
			// The text is not quoted: it may be a plain key, which would be printed to
			// terminals and CI logs.
			key := fmt.Sprintf("account[%d].keys[%d]", i, n)
			r.addProblem(key, "not a SHA-256 in 64 lower-case hex digits", hintHash)
			continue
		}
		acct.Keys = append(acct.Keys, hash)
	}
	return acct
}

const hintHash = "put the output of `camphorroad key hash` here; if it was a plain key, withdraw that key"

func parseHash(text string) (crpolicy.KeyHash, bool) {
	var hash crpolicy.KeyHash
	if len(text) != hex.EncodedLen(len(hash)) || strings.ToLower(text) != text {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil
}
