package crconfig_test

import (
	"reflect"
	"testing"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
)

// The list of instances changes all day. Sent as a whole, each change would cost 5,500 daemons
// ten times the bytes. Applied to another list, a diff would keep removed instances in use.
func TestListsAreSentAsDiffs(t *testing.T) {
	f := newSettledFleet(t, 60, 3)
	before := f.instancesSent
	rounds := 20
	for i := range rounds {
		instances := f.platform.list.Instances()
		switch i % 3 {
		case 0:
			instances[i].State = crinstance.StateLeaving
		case 1:
			instances = instances[:len(instances)-1]
		case 2:
			instances = append(instances, crinstance.Instance{
				Daemon: "new", Domain: "m0", State: crinstance.StateLive,
				Targets: []crinstance.Target{{Name: "t", Service: "s"}},
			})
		}
		f.platform.publishList(instances)
		f.run(time.Duration(50+i*37) * time.Millisecond)
	}
	f.run(9 * time.Second)
	for _, d := range f.running() {
		if got := f.daemons[d].List(); !reflect.DeepEqual(got, f.platform.list) {
			t.Errorf("%s has %d instances at revision %d, want %d at %d", d, got.Len(), got.Revision(), f.platform.list.Len(), f.platform.list.Revision())
		}
	}
	t.Logf("%d instances sent, %.1f per change and daemon", f.instancesSent-before, float64(f.instancesSent-before)/float64(rounds*60))
	if f.instancesSent-before > 3*rounds*60 {
		t.Error("lists are sent as a whole")
	}
}

// The receiver replaces its list while a diff is in flight. Applied to the new
// list, the diff would lose the changes between the two.
func TestDiffAgainstAnotherListIsNotApplied(t *testing.T) {
	p := newHarness("a")
	list := func(rev crid.Revision, names ...crid.Daemon) crinstance.ListUpdated {
		var instances []crinstance.Instance
		for _, d := range names {
			instances = append(instances, crinstance.Instance{Daemon: d})
		}
		return crinstance.ListUpdated{Now: p.now, List: crinstance.NewList(rev, instances)}
	}
	p.Step(list(5, "a", "self", "old"))
	p.receive("a", crconfig.Have{List: 7})
	p.Step(list(6, "a", "self", "old", "other"))
	push := crconfig.ListPush{Rev: 7, Base: 5, Removed: []crid.Daemon{"old"}}
	p.receive("a", push)
	if got := p.List().Revision(); got != 6 {
		t.Errorf("applied the diff: revision %d", got)
	}
	push.Base = 6
	push.Removed = append(push.Removed, "other")
	p.receive("a", push)
	if got := p.List(); got.Revision() != 7 || got.Len() != 2 {
		t.Errorf("has %d instances at revision %d", got.Len(), got.Revision())
	}
}

// The platform serves a list that is too large for a daemon. The platform does not
// count as unavailable, so only a report shows that instances are missing.
func TestUnusableListIsReportedOnce(t *testing.T) {
	p := newHarness("a")
	p.receive("a", crconfig.Have{List: 7})
	for i, want := range []struct {
		fault    crconfig.Fault
		reported bool
	}{{crconfig.FaultUnavailable, false}, {crconfig.FaultMissing, true}, {crconfig.FaultMissing, false}} {
		reported := false
		for _, e := range p.Step(crconfig.ListResult{Now: p.now, Fault: want.fault}) {
			report, ok := e.(crevent.Report)
			reported = reported || ok && report.Number == crconfig.EventListUnusable
		}
		if reported != want.reported {
			t.Errorf("read %d: reported %v, want %v", i, reported, want.reported)
		}
	}
}
