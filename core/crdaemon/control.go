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

// Reducers is the root reducer of a daemon, and those of its parts that the I/O
// layer queries directly.
type Reducers struct {
	Root    *Root
	Config  *crconfig.State
	Account *craccount.State
}

// NewReducers returns the reducers of a daemon. Both a daemon and the replay of
// its trace use it, so that they cannot differ.
func NewReducers(p Params, parse crconfig.Parser, load crconfig.Loader) Reducers {
	r := Reducers{Config: crconfig.New(p.Config, parse, load), Account: craccount.New(p.Account)}
	r.Root = NewRoot(
		Part{Name: "member", Reducer: crmember.New(p.Member)},
		Part{Name: "config", Reducer: r.Config},
		Part{Name: "account", Reducer: r.Account},
		Part{Name: "health", Reducer: crhealth.New(p.Health)},
	)
	return r
}
