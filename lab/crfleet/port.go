package crfleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports are below the ephemeral range of the system; otherwise an outgoing
// connection could take a daemon's port before the daemon starts. Each process
// starts its search at a different port, so that fleets of several processes seldom
// pick the same port between its check and its use.
const (
	firstPort = 21000
	lastPort  = 32000
	// portStride is a prime, and larger than the number of ports of a fleet.
	portStride = 211
)

var errNoPort = errors.New("no free port")

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}

func freePort(free func(addr string) bool) (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		if free(addr) {
			return addr, nil
		}
	}
	return "", errNoPort
}

func freeTCP() (string, error) {
	return freePort(func(addr string) bool {
		var lc net.ListenConfig
		ln, err := lc.Listen(context.Background(), "tcp", addr)
		if err != nil {
			return false
		}
		return ln.Close() == nil
	})
}

func freeUDP() (string, error) {
	return freePort(func(addr string) bool {
		var lc net.ListenConfig
		ln, err := lc.ListenPacket(context.Background(), "udp", addr)
		if err != nil {
			return false
		}
		return ln.Close() == nil
	})
}
