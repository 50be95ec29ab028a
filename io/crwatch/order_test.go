package crwatch_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crevent"
	"camphorroad/io/crclock"
	"camphorroad/io/crlog"
	"camphorroad/io/crwatch"
	"camphorroad/platform"
)

// Guards against a target that is used for a moment although its domain is evacuated.
func TestEvacuationsAreAppliedBeforeThePlan(t *testing.T) {
	g := gomega.NewWithT(t)
	events := make(chan string, 8)
	f := crwatch.New(crwatch.Options{
		Store: &fakeStore{list: []crwatch.Item{
			{Key: "op/config", Revision: 4, Value: []byte(`{"version":"00000001","services":[{"name":"s1"}],"limits":{},"virtual-hosts":[{"host":"h.example","path-routes":[
{"name":"look","path-prefix":"/look/","kind":"idempotent","timeout-ms":1500,"objective-latency-ms":1000,"service":"s1","max-attempts":2}]}]}`)},
			{Key: "op/evacuate/a", Revision: 5, Value: []byte("{}")},
		}, at: 5, watch: make(chan answer)},
		Decoder: platform.Decoder{}, Clock: crclock.Now, Emit: func(ev crevent.Event) { events <- fmt.Sprintf("%T", ev) },
		ReaderCount: func() int { return 6 }, ReadsFirst: func() bool { return false }, Log: crlog.New(io.Discard, "info", "test"),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx, crwatch.Configuration) }()
	defer func() { cancel(); <-done }()
	next := func() string {
		for ev := range events {
			if ev == "crmesh.EvacuationsChanged" || ev == "crmesh.PlanReceived" {
				return ev
			}
		}
		return ""
	}
	g.Expect(next()).To(gomega.Equal("crmesh.EvacuationsChanged"))
	g.Expect(next()).To(gomega.Equal("crmesh.PlanReceived"))
}
