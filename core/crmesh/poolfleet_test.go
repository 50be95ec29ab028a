package crmesh_test

import (
	"testing"
	"time"

	"camphorroad/core/crbudget"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
	"camphorroad/core/crquota"
	"camphorroad/core/crregistry"
)

const poolService = crid.Service("booking")

// takeRetry takes a retry from the pool at a daemon, as io/crmesh does.
func (f *quotaFleet) takeRetry(now crid.Instant, pools map[crid.Daemon]*crbudget.Pool, d *quotaDaemon) bool {
	owner := crquota.Owner(crbudget.PoolOwner(poolService), d.view.Owners)
	if owner == "" || f.down[owner] {
		return false
	}
	o := f.byName[owner]
	if owner != d.name && crquota.Owner(crbudget.PoolOwner(poolService), o.view.Owners) != owner {
		return false // it does not own the pool by its own view
	}
	return pools[owner].Take(now, poolService, crbudget.Ownership{Fraction: o.view.RateFraction(owner != d.name), Since: o.view.OwnersSince})
}

// startingFleet is a fleet whose daemons and their records appear one after the other.
type startingFleet struct {
	*quotaFleet
	pools    map[crid.Daemon]*crbudget.Pool
	startAt  []time.Duration
	revision crid.Revision
}

const (
	commonStart = 600 * time.Millisecond // in which all daemons start
	recordDelay = 300 * time.Millisecond // from the start of a daemon to its target's record
	pooledSlack = 31
)

func newStartingFleet(seed uint64, n int) *startingFleet {
	f := &startingFleet{quotaFleet: newQuotaFleet(seed, n, 88, 88), pools: make(map[crid.Daemon]*crbudget.Pool), startAt: make([]time.Duration, n), revision: 10}
	f.kill(f.daemons)
	for i := range f.startAt {
		f.startAt[i] = time.Duration(f.rng.Int64N(int64(commonStart)))
	}
	return f
}

// advance starts the daemons and publishes the records that are due at a time.
func (f *startingFleet) advance(at time.Duration) {
	now := start.Add(at)
	isDue := func(since time.Duration) bool { return since > at-quotaStep && since <= at }
	for i, d := range f.daemons {
		if isDue(f.startAt[i]) {
			f.down[d.name] = false
			f.start(now, d, f.recordsAt(at))
			f.pools[d.name] = crbudget.NewPool(crbudget.Params{Slack: pooledSlack, Window: 10 * time.Second})
		}
		if isDue(f.startAt[i] + recordDelay) {
			f.revision++
			for _, d := range f.running() {
				f.step(d, crmesh.RecordsChanged{Now: now, Revision: f.revision, Changes: f.records[i : i+1]})
			}
		}
	}
	if at%(100*time.Millisecond) == 0 {
		for _, d := range f.running() {
			f.step(d, crevent.Tick{Now: now})
		}
	}
}

// recordsAt returns the records that exist at a time.
func (f *startingFleet) recordsAt(at time.Duration) []crregistry.Change {
	var out []crregistry.Change
	for i := range f.daemons {
		if f.startAt[i]+recordDelay <= at {
			out = append(out, f.records[i])
		}
	}
	return out
}

// Guards against a pool of retries that each of many short-lived owners grants while a fleet starts.
func TestPoolIsGrantedOnceWhileAFleetStarts(t *testing.T) {
	for n, seeds := range map[int]uint64{29: 6, 100: 2} {
		for seed := range seeds {
			f := newStartingFleet(seed, n)
			granted := 0
			for at := time.Duration(0); at < 4*time.Second; at += quotaStep {
				f.advance(at)
				for _, d := range f.running() {
					if f.rng.Float64() < 0.1 && f.takeRetry(start.Add(at), f.pools, d) {
						granted++
					}
				}
			}
			if granted > pooledSlack {
				t.Errorf("%d daemons, seed %d: %d retries in four seconds, %d are pooled for ten", n, seed, granted, pooledSlack)
			}
			if granted == 0 {
				t.Errorf("%d daemons, seed %d: no retry in four seconds", n, seed)
			}
		}
	}
}
