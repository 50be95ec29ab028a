package crregistry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crregistry"
)

const (
	start = crid.Instant(time.Hour)
	grace = 1700 * time.Millisecond
)

func record(target crid.Target, address string) *crregistry.Record {
	return &crregistry.Record{Target: target, Service: "booking", Address: address, Slots: 4, StartedMillis: 1}
}

func change(revision crid.Revision, r *crregistry.Record) crregistry.Change {
	return crregistry.Change{Key: "servers/" + string(r.Target), Revision: revision, Record: r}
}

func names(reg *crregistry.Registry) []string {
	out := []string{}
	for _, r := range reg.Records() {
		out = append(out, string(r.Target))
	}
	return out
}

// The record of a target that has left is removed. If it stayed in use, new requests would
// be sent there and lost.
func TestRemovedRecordIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := crregistry.New(grace)
	reg.Replace(start, []crregistry.Change{change(2, record("a", "1:1")), change(3, record("b", "2:1"))}, 3)
	reg.Apply(start, []crregistry.Change{{Key: "servers/a", Revision: 4}}, 4)
	g.Expect(names(reg)).To(gomega.Equal([]string{"b"}))
}

// Records expire during an outage although their targets are up. If they were dropped at
// its end, callers would have no targets for two seconds.
func TestMissingRecordsAreKeptForGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := crregistry.New(grace)
	reg.Replace(start, []crregistry.Change{change(2, record("a", "1:1")), change(3, record("b", "2:1"))}, 3)
	reg.MarkStoreUnavailable()
	reg.MarkStoreAvailable(start.Add(5 * time.Second))
	reg.Replace(start.Add(5*time.Second), []crregistry.Change{change(3, record("b", "2:1"))}, 9)
	g.Expect(names(reg)).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(reg.Sweep(start.Add(6 * time.Second))).To(gomega.BeFalse())
	g.Expect(reg.Sweep(start.Add(5*time.Second + grace))).To(gomega.BeTrue())
	g.Expect(names(reg)).To(gomega.Equal([]string{"b"}))
}

// A record that is written again within the grace period stays.
func TestRecordWrittenInGracePeriodStays(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := crregistry.New(grace)
	reg.Replace(start, []crregistry.Change{change(2, record("a", "1:1"))}, 2)
	reg.MarkStoreUnavailable()
	reg.MarkStoreAvailable(start.Add(5 * time.Second))
	reg.Replace(start.Add(5*time.Second), nil, 9)
	reg.Apply(start.Add(6*time.Second), []crregistry.Change{change(10, record("a", "1:1"))}, 10)
	reg.Sweep(start.Add(time.Minute))
	g.Expect(names(reg)).To(gomega.Equal([]string{"a"}))
}

// A leaving target's record is removed during an outage. A grace period would send
// requests to a target that has ended.
func TestLeavingRecordGetsNoGracePeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := crregistry.New(grace)
	leaving := record("a", "1:1")
	leaving.Leaving = true
	reg.Replace(start, []crregistry.Change{change(2, leaving)}, 2)
	reg.MarkStoreUnavailable()
	reg.MarkStoreAvailable(start.Add(time.Second))
	reg.Replace(start.Add(time.Second), nil, 9)
	g.Expect(names(reg)).To(gomega.BeEmpty())
}

// An address passes to a target of another service before the old record is removed.
// Requests for the old target would reach the new one.
func TestAddressBelongsToLaterTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := crregistry.New(grace)
	other := record("b", "1:1")
	other.Service, other.StartedMillis = "dispatch", 2
	reg.Replace(start, []crregistry.Change{change(2, record("a", "1:1")), change(3, other)}, 3)
	g.Expect(names(reg)).To(gomega.Equal([]string{"b"}))
}

// A peer's copy, or a page read earlier, holds a record from before the last change. It
// must not undo the change.
func TestOlderRevisionIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := crregistry.New(grace)
	leaving := record("a", "1:1")
	leaving.Leaving = true
	reg.Apply(start, []crregistry.Change{change(7, leaving)}, 7)
	reg.Apply(start, []crregistry.Change{change(5, record("a", "1:1"))}, 7)
	g.Expect(reg.Records()[0].Leaving).To(gomega.BeTrue())
}

// A target's record is overwritten with an unreadable one. That target is removed, and all
// other records stay.
func TestUnreadableRecordNamesNoTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	reg := crregistry.New(grace)
	reg.Replace(start, []crregistry.Change{change(2, record("a", "1:1")), change(3, record("b", "2:1"))}, 3)
	reg.Apply(start, []crregistry.Change{{Key: "servers/a", Revision: 4}}, 4)
	g.Expect(names(reg)).To(gomega.Equal([]string{"b"}))
}
