package crdaemon

import (
	"camphorroad/core/craccount"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crpolicy"
	"camphorroad/core/crroute"
	"camphorroad/io/crsettings"
)

// healthParams returns the parameters of outlier detection for a policy.
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

func newPicker(p crsettings.Policy) crroute.Picker[*crroute.Target] {
	if p.Choose == crsettings.ChooseRoundRobin {
		return &crroute.RoundRobin[*crroute.Target]{}
	}
	return crroute.TwoChoices[*crroute.Target]{}
}

// newLocalSplit returns the rate limiter of the policy "split", or nil for any other
// policy.
func newLocalSplit(p crsettings.Policy, s *shell) *craccount.LocalSplit {
	if p.Rate != crsettings.RateSplit {
		return nil
	}
	return craccount.NewLocalSplit(p.Daemons, s.accountLimits)
}

// accountLimits returns the rate and burst of an account in the active configuration.
func (s *shell) accountLimits(account crid.Account) crpolicy.Account {
	view := s.view.Load()
	if view == nil {
		return crpolicy.Account{}
	}
	a, _ := view.Snapshot().Account(account)
	return a
}
