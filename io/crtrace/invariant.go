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

// invariants are the outcomes that must hold in every trace. They look at
// effects alone and share no code with the reducers that they check.
type invariants struct {
	inForce crid.Revision // newest configuration
	tenure  crmember.Lease
	highest crid.Revision // newest list that this daemon had tenure under
	floor   floor
}

// begin takes the event itself.
func (inv *invariants) begin(ev crevent.Event) {
	switch ev := ev.(type) {
	case crevent.Started:
		inv.floor.self = ev.Self
	case crevent.Stopping:
		inv.floor.stopping = true
	}
}

// check takes the effects of one event, and returns the first that must not be.
func (inv *invariants) check(now crid.Instant, effects []crevent.Effect) error {
	for _, eff := range effects {
		if err := inv.one(now, eff); err != nil {
			return err
		}
	}
	return inv.floor.check()
}

func (inv *invariants) one(now crid.Instant, eff crevent.Effect) error {
	switch eff := eff.(type) {
	case crconfig.Applied:
		inv.floor.snapshot = eff.Snapshot
		return inv.force(eff.Snapshot.Revision())
	case crinstance.ListUpdated:
		if eff.List.Revision() > inv.floor.list.Revision() {
			inv.floor.list = eff.List
		}
	case crmember.PeersChanged:
		inv.floor.takePeers(eff.Peers)
	case crhealth.RoutingUpdate:
		inv.floor.takeSteer(eff)
	case crmember.Lease:
		return inv.hold(eff)
	case crevent.Send:
		if grant, ok := eff.Msg.(craccount.Grant); ok {
			return inv.grant(now, eff.To, grant)
		}
	}
	return nil
}

// force: an accepted configuration never reverts.
func (inv *invariants) force(rev crid.Revision) error {
	if rev <= inv.inForce {
		return fmt.Errorf("revision %d came into force after %d", rev, inv.inForce)
	}
	inv.inForce = rev
	return nil
}

// hold: who had tenure under a list has none under an older one, where others
// have handed over.
func (inv *invariants) hold(t crmember.Lease) error {
	inv.tenure = t
	if t.Until == 0 {
		return nil
	}
	if t.Active < inv.highest {
		return fmt.Errorf("tenure under list %d after list %d", t.Active, inv.highest)
	}
	inv.highest = t.Active
	return nil
}

// grant: no tokens without tenure, or the bridge of a handover. Which shares the
// bridge leaves to this daemon is not looked at.
func (inv *invariants) grant(now crid.Instant, to crid.Daemon, g craccount.Grant) error {
	t := inv.tenure
	until := t.JointUntil
	if t.Active != 0 && t.Now.Before(t.Until) {
		until = t.Until
	}
	for _, item := range g.Items {
		if item.Tokens > 0 && !now.Before(until) {
			return fmt.Errorf("%d tokens of account %s granted to %s without tenure", item.Tokens, item.Account, to)
		}
	}
	return nil
}
