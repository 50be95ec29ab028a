package crtrace

import (
	"fmt"

	"camphorroad/core/craccount"
	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
)

// invariants checks conditions that must hold in every trace. It reads events and
// effects only and shares no code with the reducers that it checks.
type invariants struct {
	revision   crid.Revision // of the last applied configuration
	lease      crmember.Lease
	newestList crid.Revision // newest list that this daemon held a lease under
	floor      floorInvariant
}

// observeEvent updates the state from an event before its effects are checked.
func (inv *invariants) observeEvent(ev crevent.Event) {
	switch ev := ev.(type) {
	case crevent.Started:
		inv.floor.self = ev.Self
	case crevent.Stopping:
		inv.floor.stopping = true
	}
}

// check returns the first violation among the effects of one event.
func (inv *invariants) check(now crid.Instant, effects []crevent.Effect) error {
	for _, eff := range effects {
		if err := inv.checkEffect(now, eff); err != nil {
			return err
		}
	}
	return inv.floor.check()
}

func (inv *invariants) checkEffect(now crid.Instant, eff crevent.Effect) error {
	switch eff := eff.(type) {
	case crconfig.Applied:
		inv.floor.snapshot = eff.Snapshot
		return inv.checkRevision(eff.Snapshot.Revision())
	case crinstance.ListUpdated:
		if eff.List.Revision() > inv.floor.list.Revision() {
			inv.floor.list = eff.List
		}
	case crmember.PeersChanged:
		inv.floor.setPeers(eff.Peers)
	case crhealth.RoutingUpdate:
		inv.floor.setRouting(eff)
	case crmember.Lease:
		return inv.checkLease(eff)
	case crevent.Send:
		if grant, ok := eff.Msg.(craccount.Grant); ok {
			return inv.checkGrant(now, eff.To, grant)
		}
	}
	return nil
}

// checkRevision returns an error if the revision of the applied configuration does
// not increase.
func (inv *invariants) checkRevision(rev crid.Revision) error {
	if rev <= inv.revision {
		return fmt.Errorf("revision %d applied after revision %d", rev, inv.revision)
	}
	inv.revision = rev
	return nil
}

// checkLease returns an error if a lease is under an older list than a previous
// lease. The daemons of the older list may have handed over their shares by then.
func (inv *invariants) checkLease(lease crmember.Lease) error {
	inv.lease = lease
	if lease.Until == 0 {
		return nil
	}
	if lease.Active < inv.newestList {
		return fmt.Errorf("lease under list %d after a lease under list %d", lease.Active, inv.newestList)
	}
	inv.newestList = lease.Active
	return nil
}

// checkGrant returns an error if tokens are granted without a lease, unless a
// handover is in progress and JointUntil has not passed. It does not check which
// shares this daemon keeps during the handover.
func (inv *invariants) checkGrant(now crid.Instant, to crid.Daemon, g craccount.Grant) error {
	lease := inv.lease
	until := lease.JointUntil
	if lease.Active != 0 && lease.Now.Before(lease.Until) {
		until = lease.Until
	}
	for _, item := range g.Items {
		if item.Tokens > 0 && !now.Before(until) {
			return fmt.Errorf("%d tokens of account %s granted to %s without a lease", item.Tokens, item.Account, to)
		}
	}
	return nil
}
