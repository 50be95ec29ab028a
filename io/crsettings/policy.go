package crsettings

import (
	"slices"
	"strings"
)

// The words of Policy. Each first one is in service; the others are baselines.
const (
	ChooseTwo        = "twochoices" // the less loaded of two random targets
	ChooseRoundRobin = "roundrobin" // in turn, without regard to load or verdicts

	EjectPeers = "peers" // beside the peers, on the fleet's evidence
	EjectFixed = "fixed" // by fixed thresholds, each daemon alone
	EjectNone  = "none"  // never

	RateShares = "shares" // shares with owners, tokens moved on demand
	RateSplit  = "split"  // each daemon has its part, nothing is exchanged
)

// Policy selects the ways of deciding. It is there for comparisons only: the
// defaults are what is in service, and all daemons of a fleet must agree.
type Policy struct {
	Choose  string `toml:"choose"`
	Eject   string `toml:"eject"`
	Rate    string `toml:"rate"`
	Daemons int    `toml:"daemons"` // among which "split" divides an account's rate
}

func defaultPolicy() Policy {
	return Policy{Choose: ChooseTwo, Eject: EjectPeers, Rate: RateShares}
}

func (p Policy) check(c *collector) {
	oneOf := func(key, value string, words ...string) {
		if !slices.Contains(words, value) {
			c.add("policy."+key, "is %q and must be one of %s", value, strings.Join(words, ", "))
		}
	}
	oneOf("choose", p.Choose, ChooseTwo, ChooseRoundRobin)
	oneOf("eject", p.Eject, EjectPeers, EjectFixed, EjectNone)
	oneOf("rate", p.Rate, RateShares, RateSplit)
	if p.Rate == RateSplit && p.Daemons <= 0 {
		c.add("policy.daemons", "must be above zero where rate is \"split\"")
	}
}
