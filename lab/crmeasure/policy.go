package crmeasure

import "fmt"

// Policy is a way of deciding, as a section of the daemons' settings.
type Policy struct {
	Name   string
	choose string
	eject  string
	rate   string
}

// Policies are the one in service and its baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "chosen", choose: "twochoices", eject: "peers", rate: "shares"},
		{Name: "roundrobin", choose: "roundrobin", eject: "none", rate: "shares"},
		{Name: "fixed", choose: "twochoices", eject: "fixed", rate: "shares"},
		{Name: "split", choose: "twochoices", eject: "peers", rate: "split"},
	}
}

func (p Policy) settings(s Shape) string {
	return fmt.Sprintf("[policy]\nchoose = %q\neject = %q\nrate = %q\ndaemons = %d\n", p.choose, p.eject, p.rate, s.Daemons)
}
