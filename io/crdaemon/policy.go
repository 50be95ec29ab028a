package crdaemon

import (
	"camphorroad/core/craccount"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crroute"
	"camphorroad/io/crsettings"
)

// healthParams are the parameters of ejection for a policy.
func healthParams(p crsettings.Policy) crhealth.Params {
	params := crhealth.DefaultParams()
	switch p.Eject {
	case crsettings.EjectFixed:
		return crhealth.FixedLocal(params)
	case crsettings.EjectNone:
		return crhealth.NoEjection(params)
	}
	return params
}

func newChooser(p crsettings.Policy) crroute.Picker[*crroute.Target] {
	if p.Choose == crsettings.ChooseRoundRobin {
		return &crroute.RoundRobin[*crroute.Target]{}
	}
	return crroute.TwoChoices[*crroute.Target]{}
}

// newSplit returns the baseline of account rates where the policy asks for it,
// and nil otherwise.
func newSplit(p crsettings.Policy, s *shell) *craccount.LocalSplit {
	if p.Rate != crsettings.RateSplit {
		return nil
	}
	return craccount.NewLocalSplit(p.Daemons, s.limits)
}

// limits are an account's rate and burst by the configuration in force.
func (s *shell) limits(account crid.Account) crpolicy.Account {
	view := s.view.Load()
	if view == nil {
		return crpolicy.Account{}
	}
	a, _ := view.Snapshot().Account(account)
	return a
}
