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

// Reducers is the root over all reducers of a daemon, with those that the shell
// asks beside.
type Reducers struct {
	Root    *Root
	Config  *crconfig.State
	Account *craccount.State
}

// NewReducers returns all reducers of a daemon. A daemon and the replay of its
// trace are both made here, so that they can not come to differ.
func NewReducers(p Params, parse crconfig.Parser, load crconfig.Loader) Reducers {
	c := Reducers{Config: crconfig.New(p.Config, parse, load), Account: craccount.New(p.Account)}
	c.Root = NewRoot(
		Part{Name: "member", Reducer: crmember.New(p.Member)},
		Part{Name: "config", Reducer: c.Config},
		Part{Name: "account", Reducer: c.Account},
		Part{Name: "health", Reducer: crhealth.New(p.Health)},
	)
	return c
}
