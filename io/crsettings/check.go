package crsettings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
)

// check finds all faults of meaning.
func (s Settings) check(c *collector) {
	need := func(key, value, hint string) {
		if value == "" {
			c.add(key, "is missing; %s", hint)
		}
	}
	need("name", s.Name, "give the instance's name as the platform lists it")
	need("domain", s.Domain, "give the failure domain as the platform lists it")
	c.addr("listen.http", s.Listen.HTTP)
	c.addr("listen.peer", s.Listen.Peer)
	c.addr("listen.admin", s.Listen.Admin)
	c.http("platform.url", s.Platform.URL)
	need("tls.cert", s.TLS.Cert, "give the PEM file of this daemon's certificate")
	need("tls.key", s.TLS.Key, "give the PEM file of its key")
	need("tls.ca", s.TLS.CA, "give the PEM file of the fleet's authority")
	if (s.TLS.CallerCert == "") != (s.TLS.CallerKey == "") {
		c.add("tls.callercert", "and tls.callerkey go together; give both or neither")
	}
	s.checkTargets(c)
	s.checkLimits(c)
	s.Policy.check(c)
}

func (s Settings) checkTargets(c *collector) {
	seen := make(map[string]bool)
	for i, t := range s.Targets {
		key := fmt.Sprintf("target[%d]", i)
		if t.Name == "" {
			c.add(key+".name", "is missing; give the target's name as the platform lists it")
		}
		if t.Service == "" {
			c.add(key+".service", "is missing; give the name of a published service")
		}
		if t.Name != "" && seen[t.Name] {
			c.add(key+".name", "%q is given twice; each target has a name of its own", t.Name)
		}
		seen[t.Name] = true
		c.addr(key+".addr", t.Addr)
	}
}

func (s Settings) checkLimits(c *collector) {
	positive := func(key string, ok bool) {
		if !ok {
			c.add(key, "must be above zero")
		}
	}
	positive("platform.fleet", s.Platform.Fleet > 0)
	positive("limits.headerbytes", s.Limits.HeaderBytes > 0)
	c.duration("limits.headertime", s.Limits.HeaderTime)
	c.duration("limits.bodyidle", s.Limits.BodyIdle)
	c.duration("limits.draintime", s.Limits.DrainTime)
	positive("limits.holdinflight", s.Limits.HoldInFlight > 0)
	positive("trace.size", s.Trace.Size > 0)
	if s.Limits.ReplayBytes < 0 {
		c.add("limits.replaybytes", "must not be below zero; 0 keeps no body for another attempt")
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", "%q is no level; write debug, info, warn or error", s.Log.Level)
	}
}

func (c *collector) duration(key string, d Duration) {
	switch {
	case d.wrong != "":
		c.add(key, "%q is no duration; write for example \"250ms\"", d.wrong)
	case d.Duration <= 0:
		c.add(key, "must be above zero")
	}
}

// addr checks an address by number: names would need a resolver at start.
func (c *collector) addr(key, value string) {
	if value == "" {
		c.add(key, "is missing; write for example \"127.0.0.1:8000\"")
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		c.add(key, "%q is no host:port; write for example \"127.0.0.1:8000\"", value)
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		c.add(key, "%q names its host; give it by IP number", value)
	}
}

func (c *collector) http(key, value string) {
	if value == "" {
		c.add(key, "is missing; write for example \"http://127.0.0.1:7100\"")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(key, "%q is no http URL; write for example \"http://127.0.0.1:7100\"", value)
	}
}
