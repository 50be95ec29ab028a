package crmeasure

import "fmt"

// Policy is a set of algorithms, as selected in the [policy] section of the daemons' settings.
type Policy struct {
	Name   string
	choose string
	eject  string
	rate   string
}

// Names of the policies.
const (
	productPolicy   = "chosen"
	roundRobin      = "roundrobin"
	fixedThresholds = "fixed"
	localSplit      = "split"
)

// Policies returns the product's policy and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: productPolicy, choose: "twochoices", eject: "peers", rate: "shares"},
		{Name: roundRobin, choose: "roundrobin", eject: "none", rate: "shares"},
		{Name: fixedThresholds, choose: "twochoices", eject: "fixed", rate: "shares"},
		{Name: localSplit, choose: "twochoices", eject: "peers", rate: "split"},
	}
}

func (p Policy) settings(s Shape) string {
	return fmt.Sprintf("[policy]\nchoose = %q\neject = %q\nrate = %q\ndaemons = %d\n", p.choose, p.eject, p.rate, s.Daemons)
}
