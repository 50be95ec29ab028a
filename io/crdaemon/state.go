package crdaemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"camphorroad/core/craccount"
	"camphorroad/core/crdaemon"
	"camphorroad/core/crid"
	"camphorroad/core/crroute"
	"camphorroad/io/cradmin"
	"camphorroad/io/crclock"
	"camphorroad/io/crexit"
)

// Parts of the dump with state from outside the reducers.
const (
	partAccount = "account"
	partTraffic = "traffic"
)

// stateDump is the state of a daemon as served at /state. It must not contain secrets.
type stateDump struct {
	Daemon   crid.Daemon    `json:"daemon"`
	Domain   crid.Domain    `json:"domain"`
	Now      crid.Instant   `json:"now"` // the daemon's clock; all instants in the dump refer to it
	Ready    string         `json:"ready"`
	Trusted  bool           `json:"standing"` // this daemon may use its keys and policy
	Revision int64          `json:"revision"` // of the active configuration; zero if there is none
	Parts    map[string]any `json:"parts"`
}

// accountDump is the part "account": limits of client accounts.
type accountDump struct {
	Control   any                  `json:"control"`
	TokenPool []craccount.PoolDump `json:"wallet"`
}

// trafficDump is the part "traffic": requests and connections.
type trafficDump struct {
	InFlight int64                           `json:"inflight"` // requests of callers
	Sent     int64                           `json:"sent"`     // bytes of control messages
	Received int64                           `json:"received"` // bytes of control messages
	Dropped  int64                           `json:"dropped"`  // control events dropped
	Requests requestCounts                   `json:"requests"`
	Services map[crid.Service][]crroute.Dump `json:"services"`
	Exit     crexit.Dump                     `json:"exit"`
}

// requestCounts counts requests of callers since the start of the daemon.
type requestCounts struct {
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"notrun"`
	Unknown  int64 `json:"unknown"`
	Cut      int64 `json:"cut"`
	Denied   int64 `json:"denied"`  // without a valid key; included in notrun
	Limited  int64 `json:"limited"` // over the rate; included in notrun
	Retried  int64 `json:"retried"` // attempts after the first
}

// state returns the whole dump, or only the named part if part is not empty.
func (d *daemon) state(ctx context.Context, part string) (any, error) {
	control, err := d.shell.loop.Dump(ctx)
	if err != nil {
		return nil, err
	}
	dump := d.dump(control)
	if part == "" {
		return dump, nil
	}
	p, ok := dump.Parts[part]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(dump.Parts)), ", ")
		return nil, fmt.Errorf("%w: %q; this daemon has %s", cradmin.ErrUnknownPart, part, names)
	}
	return p, nil
}

func (d *daemon) dump(control crdaemon.Dump) stateDump {
	now := crclock.Now()
	parts := maps.Clone(control.Parts)
	parts[partAccount] = accountDump{Control: control.Parts[partAccount], TokenPool: d.shell.tokenPool.Dump(now)}
	parts[partTraffic] = d.traffic(now)
	return stateDump{
		Daemon:   d.cfg.Daemon(),
		Domain:   crid.Domain(d.cfg.Domain),
		Now:      now,
		Ready:    readyText(d.shell.checkReady()),
		Trusted:  d.shell.isTrusted(now),
		Revision: d.shell.revision(),
		Parts:    parts,
	}
}

func readyText(err error) string {
	if err != nil {
		return err.Error()
	}
	return "yes"
}

func (d *daemon) traffic(now crid.Instant) trafficDump {
	sent, received := d.shell.peers.Traffic()
	c := d.entry.Counters()
	return trafficDump{
		InFlight: d.entry.InFlight(),
		Sent:     sent,
		Received: received,
		Dropped:  d.shell.loop.Dropped(),
		Requests: requestCounts{
			Answered: c.Answered.Load(),
			NotRun:   c.NotRun.Load(),
			Unknown:  c.Unknown.Load(),
			Cut:      c.Cut.Load(),
			Denied:   c.Denied.Load(),
			Limited:  c.Limited.Load(),
			Retried:  c.Retried.Load(),
		},
		Services: d.shell.services(now),
		Exit:     d.exit.Dump(),
	}
}

// services returns the targets in the current view, by service.
func (s *shell) services(now crid.Instant) map[crid.Service][]crroute.Dump {
	out := make(map[crid.Service][]crroute.Dump)
	view := s.view.Load()
	if view == nil {
		return out
	}
	for _, name := range view.Services() {
		pool := view.Pool(name)
		for _, t := range slices.Concat(pool.Local(), pool.Remote()) {
			out[name] = append(out[name], t.Dump(now))
		}
	}
	return out
}
