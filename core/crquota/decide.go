package crquota

import (
	"slices"

	"camphorroad/core/crid"
)

// Origin is where a token request comes from, and thereby how far it may be forwarded.
type Origin uint8

// Origins of token requests.
const (
	// FromCaller is a request of a caller at this daemon.
	FromCaller Origin = iota + 1
	// FromPeer is a request of a peer that selected this daemon as the owner.
	FromPeer
	// ToRelay is a request of a peer that cannot reach the owner itself. It is to be relayed.
	ToRelay
	// FromRelay is a request that a peer forwards for another one. It is not forwarded again.
	FromRelay
)

// Action is how a daemon handles a token request: it forwards the request, or grants the token
// from its own bucket. Without either it does not answer.
type Action struct {
	To     crid.Daemon // daemon to forward to; empty: none
	Origin Origin      // of the forwarded request
	Grant  bool        // at once, or when To does not answer
}

// Fleet is what a daemon knows of the daemons of its fleet.
type Fleet struct {
	Members   []crid.Daemon // daemons that should be present
	Reachable []crid.Daemon // members whose heartbeats this daemon receives, or expects soon
	Granting  []crid.Daemon // unreachable members that may not have noticed yet that they are cut off
}

// mayGrant reports whether a daemon may grant an account's tokens at its rate: no unreachable
// daemon that owns the account in preference to it still does.
func (f Fleet) mayGrant(a crid.Account, d crid.Daemon) bool {
	return Owner(a, append(slices.Clone(f.Granting), d)) == d
}

// Decide returns how a daemon handles a token request for an account.
//
// When the network between two daemons fails, both keep running. If the next owner granted tokens
// because it could not reach the first one, both would grant the whole rate to the daemons that
// reach them, and the account would get 1.5 times its limit. A daemon that owns an account only
// because it cannot reach another therefore first sends the request to a third daemon, which may
// reach the first owner. It grants the token itself only if that fails, and only after the time in
// which the first owner notices that it is cut off and reduces what it grants.
func Decide(a crid.Account, f Fleet, self crid.Daemon, origin Origin) Action {
	owner := Owner(a, f.Reachable)
	if owner != self && owner != "" {
		if !f.mayGrant(a, owner) {
			return Action{}
		}
		return forward(owner, origin)
	}
	grant := f.mayGrant(a, self)
	first := Owner(a, f.Members)
	if first == self || first == "" || origin == ToRelay || origin == FromRelay {
		return Action{Grant: grant}
	}
	return Action{To: Relay(a, f.Reachable, first, self), Origin: ToRelay, Grant: grant}
}

func forward(owner crid.Daemon, origin Origin) Action {
	switch origin {
	case FromCaller:
		return Action{To: owner, Origin: FromPeer}
	case FromRelay:
		return Action{}
	}
	return Action{To: owner, Origin: FromRelay}
}
