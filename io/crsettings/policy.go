package crsettings

import (
	"slices"
	"strings"
)

// Values of the fields of Policy. The first value of each group is the default;
// the others are baselines for comparisons.
const (
	ChooseTwo        = "twochoices" // the less loaded of two random targets (power of two choices)
	ChooseRoundRobin = "roundrobin" // round robin, ignoring load and ejections

	EjectPeers = "peers" // outlier detection: targets are compared with their peers on evidence of the whole fleet
	EjectFixed = "fixed" // fixed thresholds, decided by each daemon on its own evidence
	EjectNone  = "none"  // no ejection

	RateShares = "shares" // each share of the rate has an owner that grants tokens on demand
	RateSplit  = "split"  // each daemon enforces a fixed fraction of the rate, without coordination
)

// Policy selects the algorithms for load balancing, ejection and rate limiting.
// Values other than the defaults are for comparisons only. All daemons of a fleet
// must have the same policy.
type Policy struct {
	Choose  string `toml:"choose"`
	Eject   string `toml:"eject"`
	Rate    string `toml:"rate"`
	Daemons int    `toml:"daemons"` // number of daemons among which "split" divides the rate of an account
}

func defaultPolicy() Policy {
	return Policy{Choose: ChooseTwo, Eject: EjectPeers, Rate: RateShares}
}

func (p Policy) validate(c *collector) {
	oneOf := func(key, value string, allowed ...string) {
		if !slices.Contains(allowed, value) {
			c.addProblem("policy."+key, "is %q and must be one of %s", value, strings.Join(allowed, ", "))
		}
	}
	oneOf("choose", p.Choose, ChooseTwo, ChooseRoundRobin)
	oneOf("eject", p.Eject, EjectPeers, EjectFixed, EjectNone)
	oneOf("rate", p.Rate, RateShares, RateSplit)
	if p.Rate == RateSplit && p.Daemons <= 0 {
		c.addProblem("policy.daemons", "must be above zero if rate is \"split\"")
	}
}
