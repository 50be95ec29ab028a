package crfleet

import (
	"net/http/httptest"
	"strings"

	"camphorroad/lab/crupstream"
)

// Target is a fake upstream next to a daemon.
type Target struct {
	*crupstream.Upstream
	name    string
	service string
	daemon  string
	server  *httptest.Server
}

func newTarget(name string, s Service, daemon string) *Target {
	up := crupstream.New(s.upstreamOptions(name))
	return &Target{Upstream: up, name: name, service: s.Name, daemon: daemon, server: httptest.NewServer(up)}
}

// Name returns the target's name.
func (t *Target) Name() string { return t.name }

// Service returns the name of the target's service.
func (t *Target) Service() string { return t.service }

// Daemon returns the name of the daemon next to the target.
func (t *Target) Daemon() string { return t.daemon }

// URL returns the base URL of the upstream itself, for requests that bypass the daemons.
func (t *Target) URL() string { return t.server.URL }

func (t *Target) addr() string { return strings.TrimPrefix(t.server.URL, "http://") }
