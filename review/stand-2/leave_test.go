package stand2

import (
	"fmt"
	"sync"
	"time"
)

const (
	leaveClients = 20
	leaveEach    = 4 // one client in so many leaves
	leaveAfter   = 150 * time.Millisecond
	leaveWork    = 500 // ms that the target works
)

// playLeave: some clients give up. They close their sending side, as any client may that has sent all,
// and read until the daemon closes the connection.
func playLeave(rec *record) (result, error) {
	f, err := newFleet(rec)
	if err != nil {
		return result{}, err
	}
	defer f.stop()
	tenants := []tenant{{Name: "bozi300", Keys: []string{key1}, Priority: 1, Rate: 200, Burst: 200}}
	if err := f.deploy(7, []route{holdRoute()}, tenants, serviceBooking, serviceBooking, serviceBooking); err != nil {
		return result{}, err
	}
	settle()
	var wg sync.WaitGroup
	var mu sync.Mutex
	left, wrong, sealed := 0, 0, 0
	for i := range leaveClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			m := f.machines[i%len(f.machines)]
			leaves := trouble() && i%leaveEach == 0
			a, err := holdAndLeave(rec, m, leaves)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				rec.event("client %d: %v", i, err)
			case a.status/100 == 2 && a.seal == "":
				wrong++
			case a.status/100 == 2:
				sealed++
			}
			if leaves {
				left++
			}
		}()
	}
	wg.Wait()
	return result{wrong > 0, fmt.Sprintf("%d of %d clients left; %d got a success without Response-Seal, %d one with it", left, leaveClients, wrong, sealed)}, nil
}

// holdAndLeave sends a booking and returns what the client reads. One that leaves closes its sending
// side after leaveAfter.
func holdAndLeave(rec *record, m *machine, leaves bool) (answer, error) {
	c, err := dial(m.caller())
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = c.Close() }()
	r := hold(key1, leaveWork)
	sent := time.Now()
	rec.event("request %s is sent to %s", r.id, m.name)
	if err := c.send(r); err != nil {
		return answer{}, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		rec.event("request %s: the client closes its sending side", r.id)
		if err := c.CloseWrite(); err != nil {
			return answer{}, err
		}
	}
	a := c.read(r, sent)
	rec.event("request %s: the client gets %s", r.id, a)
	return a, nil
}
