package crmesh_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crregion"
	"camphorroad/lab/crstore"
)

// targetOf returns the index of the machine whose target ran a request, or -1.
func (f *fleet) targetOf(id string) int {
	for i, m := range f.machines {
		for _, r := range m.target.Runs() {
			if r.ID == id {
				return i
			}
		}
	}
	return -1
}

// Machines are in domains a (even) and b (odd).
func TestEvacuatedDomainGetsNoRequestsAndItsCallersAreServed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 4)
	f.store.Put("op/evacuate/a", []byte("{}"))
	for _, m := range f.machines {
		g.Eventually(m.state, 2*time.Second, 20*time.Millisecond).Should(gomega.ContainSubstring(`"domain": "a"`))
	}
	for i := range 40 {
		resp := f.machines[i%4].call([]string{http.MethodGet, http.MethodPost}[i%2], []string{"/look/", "/hold/"}[i%2], "k1")
		g.Expect(resp.status).To(gomega.Equal(http.StatusOK))
		g.Expect(f.targetOf(resp.id) % 2).To(gomega.Equal(1))
	}
	f.store.Put("op/evacuate/b", []byte("unreadable"))
	g.Eventually(func() int { return f.machines[0].call(http.MethodGet, "/look/", "k1").status }, 2*time.Second, 20*time.Millisecond).
		Should(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(f.machines[1].call(http.MethodPost, "/hold/", "k1").took).To(gomega.BeNumerically("<", time.Second), "refused at once")
	f.store.Remove("op/evacuate/a")
	f.store.Remove("op/evacuate/b")
	used := map[int]bool{}
	g.Eventually(func() int {
		used[f.targetOf(f.machines[0].call(http.MethodGet, "/look/", "k1").id)] = true
		used[f.targetOf(f.machines[1].call(http.MethodGet, "/look/", "k1").id)] = true
		delete(used, -1)
		return len(used)
	}, 5*time.Second, 10*time.Millisecond).Should(gomega.Equal(4))
}

// Guards against a restarted daemon that uses its evacuated target before it has read the store.
func TestDaemonThatStartsDuringAnOutageLearnsOfEvacuationsFromPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 4)
	f.store.Put("op/evacuate/a", []byte("{}"))
	g.Eventually(f.machines[1].state, 2*time.Second, 20*time.Millisecond).Should(gomega.ContainSubstring(`"domain": "a"`))
	f.store.SetFault(crstore.Fault{Mode: crstore.Unavailable})
	f.machines[0].shutDown()
	f.machines[0].start()
	g.Eventually(f.machines[0].ready, 10*time.Second, 20*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	for range 20 {
		resp := f.machines[0].call(http.MethodGet, "/look/", "k1")
		g.Expect(f.targetOf(resp.id)%2).NotTo(gomega.Equal(0), "status %d", resp.status)
	}
}

// Domain a lies in region east, b in west; holds are bound to west, and an account to east.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleetInRegions(t, 4, crregion.Map{"a": "east", "b": "west"})
	f.store.Put("op/config", fmt.Appendf(nil, `{"version":"00000009","services":[{"name":"s1"}],"limits":{},
"tenants":[{"name":"t1","api-keys":["k1"]},{"name":"t2","api-keys":["k2"],"allowed-regions":["east"]}],
"virtual-hosts":[{"host":"h.example","path-routes":[
{"name":"look","path-prefix":"/look/","kind":"idempotent","timeout-ms":1500,"objective-latency-ms":1000,"service":"s1","max-attempts":2},
{"name":"hold","path-prefix":"/hold/","kind":"non_idempotent","timeout-ms":1500,"objective-latency-ms":1000,"service":"s1","max-attempts":2,"allowed-regions":["west"]}]}]}`))
	for _, m := range f.machines {
		g.Eventually(m.state, 2*time.Second, 20*time.Millisecond).Should(gomega.ContainSubstring(`"plan": "9"`))
	}
	for i := range 20 {
		m := f.machines[i%4]
		g.Expect(f.targetOf(m.call(http.MethodPost, "/hold/", "k1").id) % 2).To(gomega.Equal(1))
		g.Expect(f.targetOf(m.call(http.MethodGet, "/look/", "k2").id)).To(gomega.Or(gomega.Equal(0), gomega.Equal(2)))
		resp := m.call(http.MethodPost, "/hold/", "k2")
		g.Expect(resp.status).To(gomega.Equal(http.StatusServiceUnavailable), "no region is a home of both")
		g.Expect(resp.took).To(gomega.BeNumerically("<", time.Second))
		g.Expect(f.runs(resp.id)).To(gomega.BeEmpty())
	}
}

// Guards against bytes between domains that no metric and no event shows.
func TestRequestsThatCrossAreMeteredAndLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 2)
	near := f.machines[0]
	counters := func() (sent, received int) {
		_, body := near.get(near.cfg.Listen.Ready, "/metrics")
		for _, line := range strings.Split(body, "\n") {
			_, _ = fmt.Sscanf(line, "camphorroad_domains_sent_bytes_total %d", &sent)
			_, _ = fmt.Sscanf(line, "camphorroad_domains_received_bytes_total %d", &received)
		}
		return sent, received
	}
	g.Expect(near.call(http.MethodPost, "/hold/", "k1").status).To(gomega.Equal(http.StatusOK))
	_, own := counters()
	g.Expect(own).To(gomega.BeZero(), "its own target")
	f.store.Put("op/evacuate/a", []byte("{}"))
	g.Eventually(near.state, 2*time.Second, 20*time.Millisecond).Should(gomega.ContainSubstring(`"domain": "a"`))
	bytes := 0
	for range 40 {
		resp := near.call(http.MethodPost, "/hold/", "k1")
		g.Expect(resp.status).To(gomega.Equal(http.StatusOK))
		bytes += len(resp.body)
	}
	sent, received := counters()
	g.Expect(sent).To(gomega.Equal(40 * len("the body")))
	g.Expect(received).To(gomega.Equal(bytes))
	g.Eventually(func() string { // a sample of the successful requests is logged
		near.call(http.MethodPost, "/hold/", "k1")
		return near.log.String()
	}, 10*time.Second, time.Millisecond).Should(gomega.MatchRegexp(`"bytes":"[1-9].*"cross":"true"`))
}

// Guards against a daemon that takes a service which its plan does not have for one without a limit.
func TestTargetOfAServiceThatThePlanLacksGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t, 1)
	m := f.machines[0]
	m.shutDown()
	m.cfg.Service, m.log = "s2", &syncBuffer{}
	m.start()
	g.Eventually(m.ready, 5*time.Second, 20*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	f.store.Put("servers/"+m.id, fmt.Appendf(nil, `{"address":%q,"born":2,"information":{"service":"s2","version":"v1","zone":%q,"slots":4},
"status":{"state":"ready","sequence":2,"warmup-remaining-ms":0}}`, m.cfg.Target, m.cfg.Domain))
	g.Consistently(m.log.String, 500*time.Millisecond, 20*time.Millisecond).ShouldNot(gomega.ContainSubstring(`"event":629`))
	f.store.Put("op/config", []byte(`{"version":"00000009","services":[{"name":"s1"},{"name":"s2","warmup-per-s":11,"warmup-s":3}],"limits":{},
"tenants":[{"name":"t1","api-keys":["k1"]}],
"virtual-hosts":[{"host":"h.example","path-routes":[
{"name":"look","path-prefix":"/look/","kind":"idempotent","timeout-ms":1500,"objective-latency-ms":1000,"service":"s2","max-attempts":2}]}]}`))
	g.Eventually(m.log.String, 5*time.Second, 20*time.Millisecond).Should(gomega.MatchRegexp(`"event":629.*"limit":"11"`))
}
