package crmeasure

import "fmt"

// Policy is a way of deciding, as a section of the daemons' settings.
type Policy struct {
	Name   string
	choose string
	eject  string
	rate   string
}

// The policies' names.
const (
	chosen          = "chosen"
	roundRobin      = "roundrobin"
	fixedThresholds = "fixed"
	localSplit      = "split"
)

// Policies are the one in service and its baselines.
func Policies() []Policy {
	return []Policy{
		{Name: chosen, choose: "twochoices", eject: "peers", rate: "shares"},
		{Name: roundRobin, choose: "roundrobin", eject: "none", rate: "shares"},
		{Name: fixedThresholds, choose: "twochoices", eject: "fixed", rate: "shares"},
		{Name: localSplit, choose: "twochoices", eject: "peers", rate: "split"},
	}
}

func (p Policy) settings(s Shape) string {
	return fmt.Sprintf("[policy]\nchoose = %q\neject = %q\nrate = %q\ndaemons = %d\n", p.choose, p.eject, p.rate, s.Daemons)
}
