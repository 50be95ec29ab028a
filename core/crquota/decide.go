package crquota

import "camphorroad/core/crid"

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

// Decide returns how a daemon handles a token request for an account. Members are the daemons
// that should be present. Reachable are those of them whose heartbeats this daemon receives, or
// expects soon.
//
// When the network between two daemons fails, both keep running. If the next owner granted tokens
// because it could not reach the first one, both would grant the whole rate to the daemons that
// reach them, and the account would get 1.5 times its limit. A daemon that owns an account only
// because it cannot reach another therefore first sends the request to a third daemon, which may
// reach the first owner. It grants the token itself only if that fails.
func Decide(a crid.Account, members, reachable []crid.Daemon, self crid.Daemon, origin Origin) Action {
	owner := Owner(a, reachable)
	if owner != self && owner != "" {
		return forward(owner, origin)
	}
	first := Owner(a, members)
	if first == self || first == "" || origin == ToRelay || origin == FromRelay {
		return Action{Grant: true}
	}
	return Action{To: Relay(a, reachable, first, self), Origin: ToRelay, Grant: true}
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
