package crquota

import "camphorroad/core/crid"

// Origin says for whom a token is wanted, and so how far the question may go on.
type Origin uint8

// The askers.
const (
	// FromCaller: a request that entered at this daemon.
	FromCaller Origin = iota + 1
	// FromPeer: a peer that takes this daemon for the owner.
	FromPeer
	// ToRelay: a peer that does not hear the owner itself.
	ToRelay
	// FromRelay: a peer for another one. The question ends here.
	FromRelay
)

// Action is what a daemon does about a token that is wanted: it asks another one, or
// grants it from its own bucket. With neither it leaves the question unanswered.
type Action struct {
	To     crid.Daemon // to ask; none: nobody
	Origin Origin      // what the question is there
	Grant  bool        // at once, or when To does not answer
}

// Decide returns what a daemon does about a token of an account. Members are the
// daemons that should be there, and heard those of them that this one hears or
// expects to hear soon.
//
// A cut between two machines leaves both alive. Where the next owner did not hear
// the first one, and took its place, both handed out the whole rate, each to the
// daemons that heard it: the account got half as much again as its limit. So one
// that would own an account only because it does not hear another asks a third
// daemon first, which may hear that one, and is the owner only if that fails.
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
