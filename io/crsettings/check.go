package crsettings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
)

// validate validates the decoded settings and adds all problems to c.
func (s Settings) validate(c *collector) {
	require := func(key, value, hint string) {
		if value == "" {
			c.addProblem(key, "is missing; %s", hint)
		}
	}
	require("name", s.Name, "give the instance's name as the platform lists it")
	require("domain", s.Domain, "give the failure domain as the platform lists it")
	c.checkAddr("listen.http", s.Listen.HTTP)
	c.checkAddr("listen.peer", s.Listen.Peer)
	c.checkAddr("listen.admin", s.Listen.Admin)
	c.checkURL("platform.url", s.Platform.URL)
	require("tls.cert", s.TLS.Cert, "give the PEM file of this daemon's certificate")
	require("tls.key", s.TLS.Key, "give the PEM file of the certificate's key")
	require("tls.ca", s.TLS.CA, "give the PEM file of the fleet's certificate authority")
	if (s.TLS.CallerCert == "") != (s.TLS.CallerKey == "") {
		c.addProblem("tls.callercert", "and tls.callerkey must be set together; give both or neither")
	}
	s.validateTargets(c)
	s.validateLimits(c)
	s.Policy.validate(c)
}

func (s Settings) validateTargets(c *collector) {
	seen := make(map[string]bool)
	for i, t := range s.Targets {
		key := fmt.Sprintf("target[%d]", i)
		if t.Name == "" {
			c.addProblem(key+".name", "is missing; give the target's name as the platform lists it")
		}
		if t.Service == "" {
			c.addProblem(key+".service", "is missing; give the name of a published service")
		}
		if t.Name != "" && seen[t.Name] {
			c.addProblem(key+".name", "%q is given twice; target names must be unique", t.Name)
		}
		seen[t.Name] = true
		c.checkAddr(key+".addr", t.Addr)
	}
}

func (s Settings) validateLimits(c *collector) {
	positive := func(key string, ok bool) {
		if !ok {
			c.addProblem(key, "must be above zero")
		}
	}
	positive("platform.fleet", s.Platform.FleetSize > 0)
	positive("limits.headerbytes", s.Limits.HeaderBytes > 0)
	c.checkDuration("limits.headertime", s.Limits.HeaderTime)
	c.checkDuration("limits.bodyidle", s.Limits.BodyIdle)
	c.checkDuration("limits.draintime", s.Limits.DrainTime)
	positive("limits.holdinflight", s.Limits.HoldInFlight > 0)
	positive("trace.size", s.Trace.MaxBytes > 0)
	if s.Limits.ReplayBytes < 0 {
		c.addProblem("limits.replaybytes", "must not be negative; 0 buffers no request body for retries")
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.addProblem("log.level", "%q is not a log level; write debug, info, warn or error", s.Log.Level)
	}
}

func (c *collector) checkDuration(key string, d Duration) {
	switch {
	case d.invalid != "":
		c.addProblem(key, "%q is not a duration; write for example \"250ms\"", d.invalid)
	case d.Duration <= 0:
		c.addProblem(key, "must be above zero")
	}
}

// checkAddr checks a host:port whose host is empty or an IP address. Host names are
// rejected because they would need a resolver at start.
func (c *collector) checkAddr(key, value string) {
	if value == "" {
		c.addProblem(key, "is missing; write for example \"127.0.0.1:8000\"")
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		c.addProblem(key, "%q is not a host:port address; write for example \"127.0.0.1:8000\"", value)
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		c.addProblem(key, "%q contains a host name; give an IP address", value)
	}
}

func (c *collector) checkURL(key, value string) {
	if value == "" {
		c.addProblem(key, "is missing; write for example \"http://127.0.0.1:7100\"")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.addProblem(key, "%q is not an HTTP URL; write for example \"http://127.0.0.1:7100\"", value)
	}
}
