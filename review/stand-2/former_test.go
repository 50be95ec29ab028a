package stand2

import (
	"fmt"
	"syscall"
	"time"
)

const (
	formerRate   = 20.0
	formerBurst  = 120.0
	formerPerS   = 10               // requests a second that the tenant sends usually
	formerUsual  = 14 * time.Second // of usual traffic before the tenant sends many times its usual
	formerHot    = 8 * time.Second
	formerStopAt = 1200 * time.Millisecond // after the tenant has begun to send that much
)

// playFormer: the daemon that keeps a tenant's tokens is stopped and started again, and stopped once more some
// time later, while the tenant sends many times its usual.
func playFormer(rec *record) (result, error) {
	f, err := newFleet(rec)
	if err != nil {
		return result{}, err
	}
	defer f.stop()
	t := tenant{Name: "huka270", Keys: []string{key2}, Priority: 1, Rate: formerRate, Burst: formerBurst}
	services := []string{serviceBooking, serviceBooking, serviceBooking, serviceBooking, serviceBooking}
	if err := f.deploy(7, []route{holdRoute()}, []tenant{t}, services...); err != nil {
		return result{}, err
	}
	settle()
	owner := f.ownerOf(t.Name)
	rec.event("%s keeps the tenant's tokens", owner.name)
	var others []*machine
	for _, m := range f.machines {
		if m != owner {
			others = append(others, m)
		}
	}
	usual := load{perS: formerPerS, key: t.Keys[0], machines: others}
	if trouble() {
		stopped := owner.restart()
		usual.send(rec, restartTime)
		if err := <-stopped; err != nil {
			return result{}, err
		}
	} else {
		usual.send(rec, restartTime)
	}
	usual.send(rec, formerUsual)
	if trouble() {
		stop := time.AfterFunc(formerStopAt, func() {
			rec.event("SIGTERM to %s", owner.name)
			owner.signal(syscall.SIGTERM)
		})
		defer stop.Stop()
	}
	hot := load{perS: formerRate * hotFactor, key: t.Keys[0], machines: others}
	at, codes := hot.send(rec, formerHot)
	most := mostIn(at, quotaWindow)
	allowed := (formerRate*quotaWindow.Seconds()+formerBurst)*(1+quotaOverage) + quotaSlack
	return result{
		float64(most) > allowed,
		fmt.Sprintf("%d requests of the tenant sent in %v have run, %.0f are allowed; answers by status: %v", most, quotaWindow, allowed, codes),
	}, nil
}

// restartTime is enough for a daemon to stop within its grace and to be ready again.
const restartTime = 9 * time.Second

// restart stops the daemon with SIGTERM and starts it again, as the platform does.
func (m *machine) restart() <-chan error {
	ended := make(chan error, 1)
	m.fleet.rec.event("SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-m.done:
		case <-time.After(graceSeconds * time.Second):
			m.fleet.rec.event("SIGKILL to %s", m.name)
			m.signal(syscall.SIGKILL)
			<-m.done
		}
		if err := m.start(false); err != nil {
			ended <- err
			return
		}
		m.fleet.rec.event("%s starts again", m.name)
		ended <- m.awaitReady(5 * time.Second)
	}()
	return ended
}
