package crfleet

import (
	"net/http/httptest"
	"strings"

	"camphorroad/lab/crupstream"
)

// Target is an upstream stand-in beside a daemon.
type Target struct {
	*crupstream.Upstream
	name    string
	service string
	daemon  string
	server  *httptest.Server
}

func newTarget(name string, s Service, daemon string) *Target {
	up := crupstream.New(s.upstream(name))
	return &Target{Upstream: up, name: name, service: s.Name, daemon: daemon, server: httptest.NewServer(up)}
}

// Name is the target's name.
func (t *Target) Name() string { return t.name }

// Service is the service that it serves.
func (t *Target) Service() string { return t.service }

// Daemon is the name of the daemon beside it.
func (t *Target) Daemon() string { return t.daemon }

// URL is the upstream's base URL, past the fleet.
func (t *Target) URL() string { return t.server.URL }

func (t *Target) addr() string { return strings.TrimPrefix(t.server.URL, "http://") }
