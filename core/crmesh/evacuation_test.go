package crmesh_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crevacuation"
	"camphorroad/core/crid"
	"camphorroad/core/crmesh"
)

func evacuation(now crid.Instant, d crid.Domain, revision crid.Revision, ended bool) crmesh.EvacuationsChanged {
	return crmesh.EvacuationsChanged{Now: now, Changes: []crevacuation.Change{{Domain: d, Revision: revision, Ended: ended}}}
}

func TestEvacuatedDomainHasNoTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	before := views(s.Step(recordsListed()))[0]
	g.Expect(before.Targets["booking"]).To(gomega.HaveLen(3))
	v := views(s.Step(evacuation(start, "a", 7, false)))[0]
	g.Expect(v.Targets["booking"]).To(gomega.HaveLen(1))
	g.Expect(v.Targets["booking"][0].Domain).To(gomega.Equal(crid.Domain("b")))
	g.Expect(v.TargetsVersion).NotTo(gomega.Equal(before.TargetsVersion))
	g.Expect(v.OwnEvacuated).To(gomega.BeTrue())
	g.Expect(v.OwnRecord).NotTo(gomega.BeNil())
	g.Expect(views(s.Step(evacuation(start, "a", 7, false)))).To(gomega.BeEmpty(), "nothing has changed")
	v = views(s.Step(evacuation(start, "a", 9, true)))[0]
	g.Expect(v.Targets["booking"]).To(gomega.HaveLen(3))
	g.Expect(v.OwnEvacuated).To(gomega.BeFalse())
}

func TestAllDomainsMayBeEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(evacuation(start, "b", 2, false))
	s.Step(evacuation(start, "not known", 3, false))
	s.Step(recordsListed())
	v := views(s.Step(evacuation(start, "a", 7, false)))[0]
	g.Expect(v.Targets["booking"]).To(gomega.BeEmpty())
	g.Expect(v.Evacuations).To(gomega.HaveLen(3))
}

// Guards against a daemon whose store answers no more and that peers tell of an evacuation.
func TestEvacuationThatAPeerReportsIsPulled(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	hb := crmesh.Heartbeat{Incarnation: 1, RecordRevision: 5, EvacuationRevision: 7}
	s.Step(crmesh.HeartbeatReceived{Now: start, From: "10.0.0.3", Heartbeat: hb})
	now := start.Add(700 * time.Millisecond)
	g.Expect(pulls(s.Step(crmesh.HeartbeatReceived{Now: now, From: "10.0.0.3", Heartbeat: hb}))).To(gomega.Equal([]crid.Daemon{"10.0.0.3"}))
	s.Step(evacuation(now, "b", 7, false))
	now = now.Add(time.Second)
	g.Expect(pulls(s.Step(crmesh.HeartbeatReceived{Now: now, From: "10.0.0.3", Heartbeat: hb}))).To(gomega.BeEmpty())
}

// Guards against a target that is cold after an evacuation of which only the end arrives, or both in one list.
func TestEndOfAnUnseenEvacuationIsPublished(t *testing.T) {
	g := gomega.NewWithT(t)
	s := crmesh.New(params())
	s.Step(recordsListed())
	v := views(s.Step(evacuation(start, "a", 9, true)))[0]
	g.Expect(v.OwnEvacuated).To(gomega.BeFalse())
	g.Expect(v.EvacuationEnd).To(gomega.Equal(crid.Revision(9)))
	both := crmesh.EvacuationsChanged{Now: start, Changes: []crevacuation.Change{{Domain: "a", Revision: 11}, {Domain: "a", Revision: 12, Ended: true}}}
	v = views(s.Step(both))[0]
	g.Expect(v.OwnEvacuated).To(gomega.BeFalse())
	g.Expect(v.EvacuationEnd).To(gomega.Equal(crid.Revision(12)))
	g.Expect(views(s.Step(both))).To(gomega.BeEmpty(), "nothing has changed")
}
