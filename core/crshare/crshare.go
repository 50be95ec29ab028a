// Package crshare decides which accounts use more than their share of a target's slots.
//
// The usage of an account is the average number of slots that it occupied, decayed with a
// time constant of 5 s, plus the expected contribution of its running requests. The slot time
// that all accounts used is divided among them in proportion to their weights. An account that
// wants less than its part gets what it wants, and the rest is divided among the others. An
// account whose usage exceeds its part is above its share; [Level] tells by how much.
//
// The weight of an account is its configured rate. An account without a rate has the mean
// weight of the present accounts with a rate, so that it is neither favored nor starved; if no
// account has a rate, all weights are equal. The common account has the weight of all others
// together, as its requests may be those of any account: during an update, entries of an
// earlier version send no account.
//
// The package is used by core/crgate. Package crslot uses start-time fair queueing between
// equal accounts instead, which has no priorities.
//
// # Usage
//
//	account := tracker.Join(now, crshare.IDOf("a"), 20)
//	tracker.Update(now, meanServiceTime)
//	level := account.Level(ahead)
//	tracker.Start(now, account)
//	tracker.End(now, account)
package crshare

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"camphorroad/core/crid"
)

const (
	// timeConstant is the time constant of the decay of the usage.
	timeConstant = 5 * time.Second
	// maxAccounts bounds the memory. Requests of further accounts count for the common account.
	maxAccounts = 1024
	// idleUsage is the average number of slots below which an account without requests is
	// evicted.
	idleUsage = 0.01
	// maxRounds bounds the rounds in which unused parts are divided among the others. A part
	// that is not divided makes the shares smaller, not larger.
	maxRounds = 8
	// roundingError is the relative error of a share: one that is all of the usage may be computed
	// as a little less.
	roundingError = 1e-9
)

// ID is the hash of an account's name. [Common] stands for all requests without an account.
type ID uint64

// Common is the ID of the common account.
const Common ID = 0

// IDOf returns the ID of an account; it is the same at all daemons.
func IDOf(name crid.Account) ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return max(ID(h.Sum64()), Common+1)
}

// String returns the ID in hexadecimal, as it is sent between daemons.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// Account is the state of an account at one target.
type Account struct {
	id      ID
	rate    float64 // configured rate; zero: none
	average float64 // occupied slots, decayed
	running int
	waiting int

	// The remaining fields are set by Update.
	usage   float64 // average with the expected contribution of the running requests
	demand  float64 // usage with the expected contribution of the waiting requests
	weight  float64
	share   float64 // in slots, as usage
	request float64 // contribution of one request to the usage
	open    bool    // its demand is not known to be below its share
	queued  int     // waiting requests that NextLevel has counted
}

// Level is how far a request is above the share of its account.
type Level uint8

// The levels. With two of them, accounts that are all a little above their shares would be served
// in proportion to their demand most of the time.
const (
	Within   Level = iota // within the share
	Slightly              // above it by up to one request
	Far                   // above it by more
)

// Level returns the level of a waiting request, if the given number of the account's waiting
// requests start before it. Half of the request itself counts, so that the usage is the share
// on average and not at its minimum.
func (a *Account) Level(ahead int) Level {
	excess := a.usage + (float64(ahead)+0.5)*a.request - a.share
	switch {
	case !a.open || excess <= 0:
		return Within
	case excess <= a.request:
		return Slightly
	}
	return Far
}

// NextLevel returns the level of the account's next waiting request. It is called for the
// waiting requests in the order in which they start, after Update.
func (a *Account) NextLevel() Level {
	a.queued++
	return a.Level(a.queued - 1)
}

// Tracker tracks the usage of the slots of one target. It is not safe for concurrent use.
type Tracker struct {
	accounts  map[ID]*Account
	list      []*Account // the same accounts, for iteration
	updatedAt crid.Instant
	waiting   int // accounts that have waiting requests
}

// New returns a Tracker without accounts.
func New() *Tracker { return &Tracker{accounts: make(map[ID]*Account)} }

// Contended reports whether requests of several accounts wait.
func (t *Tracker) Contended() bool { return t.waiting > 1 }

// Join adds a waiting request of an account. A rate of zero means that the account has none.
func (t *Tracker) Join(now crid.Instant, id ID, rate float64) *Account {
	t.advance(now)
	a := t.account(id)
	if a.id != Common {
		a.rate = rate
	}
	if a.waiting == 0 {
		t.waiting++
	}
	a.waiting++
	return a
}

func (t *Tracker) account(id ID) *Account {
	if a := t.accounts[id]; a != nil {
		return a
	}
	if len(t.list) >= maxAccounts && id != Common {
		return t.account(Common)
	}
	a := &Account{id: id}
	t.accounts[id] = a
	t.list = append(t.list, a)
	return a
}

// Leave removes a waiting request that has not started.
func (t *Tracker) Leave(a *Account) {
	a.waiting--
	if a.waiting == 0 {
		t.waiting--
	}
}

// Start gives a waiting request a slot.
func (t *Tracker) Start(now crid.Instant, a *Account) {
	t.advance(now)
	t.Leave(a)
	a.running++
}

// End frees the slot of a request.
func (t *Tracker) End(now crid.Instant, a *Account) {
	t.advance(now)
	a.running--
}

// advance brings the averages up to date, and evicts accounts without requests and usage.
func (t *Tracker) advance(now crid.Instant) {
	if now <= t.updatedAt {
		return
	}
	kept := math.Exp(-now.Sub(t.updatedAt).Seconds() / timeConstant.Seconds())
	t.updatedAt = now
	for _, a := range t.list {
		n := float64(a.running)
		a.average = n + (a.average-n)*kept
	}
	t.list = slices.DeleteFunc(t.list, func(a *Account) bool {
		if a.running > 0 || a.waiting > 0 || a.average >= idleUsage {
			return false
		}
		delete(t.accounts, a.id)
		return true
	})
}

// Update computes the shares, given the mean service time of a request.
func (t *Tracker) Update(now crid.Instant, serviceTime time.Duration) {
	t.advance(now)
	request := serviceTime.Seconds() / timeConstant.Seconds()
	t.weigh()
	used := 0.0
	for _, a := range t.list {
		a.request, a.queued, a.open = request, 0, true
		a.usage = a.average + float64(a.running)*request
		a.demand = a.usage + float64(a.waiting)*request
		used += a.usage
	}
	t.divide(used)
}

// weigh sets the weights of the accounts.
func (t *Tracker) weigh() {
	weight, total := t.defaultWeight(), 0.0
	for _, a := range t.list {
		a.weight = weight
		if a.rate > 0 {
			a.weight = a.rate
		}
		if a.id != Common {
			total += a.weight
		}
	}
	if common := t.accounts[Common]; common != nil && total > 0 {
		common.weight = total
	}
}

// divide divides slot time among the accounts by weight. What an account does not want is
// divided among the others.
func (t *Tracker) divide(used float64) {
	for range maxRounds {
		weights := 0.0
		for _, a := range t.list {
			if a.open {
				weights += a.weight
			}
		}
		level, changed := used/weights, false
		for _, a := range t.list {
			if !a.open {
				continue
			}
			a.share = level * a.weight
			if a.demand <= a.share {
				a.share, a.open, changed = a.demand, false, true
				used -= a.demand
			}
		}
		if !changed {
			return
		}
	}
}

// defaultWeight is the weight of an account without a rate.
func (t *Tracker) defaultWeight() float64 {
	sum, n := 0.0, 0
	for _, a := range t.list {
		if a.rate > 0 {
			sum += a.rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Usage describes an account above its share, in slots averaged over the last seconds.
type Usage struct {
	Account ID      `json:"-"`
	Name    string  `json:"account"` // the ID in hexadecimal, unless the daemon knows the name
	Slots   float64 `json:"slots"`
	Share   float64 `json:"share"`
	Waiting int     `json:"waiting"`
}

// AccountsAbove returns the accounts above their shares as of the last Update, the largest
// usage first.
func (t *Tracker) AccountsAbove() []Usage {
	var out []Usage
	for _, a := range t.list {
		if a.usage > a.share*(1+roundingError) {
			out = append(out, Usage{Account: a.id, Name: a.id.String(), Slots: a.usage, Share: a.share, Waiting: a.waiting})
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Account, b.Account))
	})
	return out
}
