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

// Instances come, change and go all day. Were each list sent whole, 5,500
// daemons would spend ten times their bytes on it; were a difference applied to
// another list, a removed instance would get work for ever.
func TestListsSpreadAsDifferences(t *testing.T) {
	f := settled(t, 60, 3)
	from := f.listed
	rounds := 20
	for i := range rounds {
		instances := f.plat.list.Instances()
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
		f.plat.relist(instances)
		f.run(time.Duration(50+i*37) * time.Millisecond)
	}
	f.run(9 * time.Second)
	for _, d := range f.alive() {
		if got := f.daemons[d].List(); !reflect.DeepEqual(got, f.plat.list) {
			t.Errorf("%s has %d at %d, not %d at %d", d, got.Len(), got.Revision(), f.plat.list.Len(), f.plat.list.Revision())
		}
	}
	t.Logf("%d instances sent, %.1f a change and daemon", f.listed-from, float64(f.listed-from)/float64(rounds*60))
	if f.listed-from > 3*rounds*60 {
		t.Error("lists are sent whole")
	}
}

// While a difference is on its way the asker reads another list. Applied to that
// one, the difference would lose what changed between the two.
func TestDifferenceToAnotherListIsNotApplied(t *testing.T) {
	p := newPuller("a")
	list := func(rev crid.Revision, names ...crid.Daemon) crinstance.ListUpdated {
		var instances []crinstance.Instance
		for _, d := range names {
			instances = append(instances, crinstance.Instance{Daemon: d})
		}
		return crinstance.ListUpdated{Now: p.now, List: crinstance.NewList(rev, instances)}
	}
	p.Step(list(5, "a", "self", "old"))
	p.hear("a", crconfig.Have{List: 7})
	p.Step(list(6, "a", "self", "old", "other"))
	push := crconfig.ListPush{Rev: 7, Since: 5, Gone: []crid.Daemon{"old"}}
	p.hear("a", push)
	if got := p.List().Revision(); got != 6 {
		t.Errorf("went to %d", got)
	}
	push.Since = 6
	push.Gone = append(push.Gone, "other")
	p.hear("a", push)
	if got := p.List(); got.Revision() != 7 || got.Len() != 2 {
		t.Errorf("has %d at %d", got.Len(), got.Revision())
	}
}

// The platform serves a list of the planned size in one answer, above what a
// daemon takes. It does not look away; new instances just never get work, and
// nobody knew why.
func TestAListThatCanNotBeUsedIsToldOnce(t *testing.T) {
	p := newPuller("a")
	p.hear("a", crconfig.Have{List: 7})
	for i, want := range []struct {
		fault crconfig.Fault
		told  bool
	}{{crconfig.FaultAway, false}, {crconfig.FaultMissing, true}, {crconfig.FaultMissing, false}} {
		told := false
		for _, e := range p.Step(crconfig.ListRead{Now: p.now, Fault: want.fault}) {
			report, ok := e.(crevent.Report)
			told = told || ok && report.Number == crconfig.NumberListUnread
		}
		if told != want.told {
			t.Errorf("read %d: told %v, want %v", i, told, want.told)
		}
	}
}
