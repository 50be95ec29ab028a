package crdaemon

import (
	"camphorroad/core/craccount"
	"camphorroad/core/crconfig"
	"camphorroad/core/crhealth"
	"camphorroad/core/crmember"
)

// Params are the parameters of all reducers.
type Params struct {
	Member  crmember.Params
	Config  crconfig.Params
	Account craccount.Params
	Health  crhealth.Params
}

// DefaultParams returns the defaults of each reducer.
func DefaultParams() Params {
	return Params{
		Member:  crmember.DefaultParams(),
		Config:  crconfig.DefaultParams(),
		Account: craccount.DefaultParams(),
		Health:  crhealth.DefaultParams(),
	}
}

// NewControl returns the root over all reducers of a daemon, and the one of the
// configuration. A daemon and the replay of its trace are both made here, so
// that they can not come to differ.
func NewControl(p Params, parse crconfig.Parser, load crconfig.Loader) (*State, *crconfig.State) {
	config := crconfig.New(p.Config, parse, load)
	root := New(
		Part{Name: "member", Reducer: crmember.New(p.Member)},
		Part{Name: "config", Reducer: config},
		Part{Name: "account", Reducer: craccount.New(p.Account)},
		Part{Name: "health", Reducer: crhealth.New(p.Health)},
	)
	return root, config
}
