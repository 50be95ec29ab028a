package crentry

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// Reservation is an address for callers that is taken but not listened on:
// connections to it are refused by the system, so that callers try another
// address at once, and no other process can take it.
type Reservation struct {
	file *os.File
	addr string
}

// backlog is how many connections may wait to be accepted; the system may allow
// fewer.
const backlog = 4096

// Reserve takes a TCP address. It fails where the address is in use.
func Reserve(addr string) (*Reservation, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("callers' address %q: %w", addr, err)
	}
	family, sockaddr := socketAddress(a)
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("socket for callers: %w", err)
	}
	file := os.NewFile(uintptr(fd), addr)
	if err := bind(fd, family, sockaddr); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("take the callers' address %s: %w", addr, err)
	}
	return &Reservation{file: file, addr: addr}, nil
}

// socketAddress returns the family and the address as the system takes them. An
// address without a host is that of all, by IPv6 and IPv4.
func socketAddress(a *net.TCPAddr) (int, syscall.Sockaddr) {
	if ip := a.IP.To4(); ip != nil {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(ip)}
	}
	to := &syscall.SockaddrInet6{Port: a.Port}
	copy(to.Addr[:], a.IP)
	return syscall.AF_INET6, to
}

func bind(fd, family int, to syscall.Sockaddr) error {
	if err := share(fd, 1); err != nil {
		return err
	}
	if family == syscall.AF_INET6 {
		if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_IPV6, syscall.IPV6_V6ONLY, 0); err != nil {
			return err
		}
	}
	if err := syscall.Bind(fd, to); err != nil {
		return err
	}
	return share(fd, 0)
}

// share lets the address be bound beside other sockets that let it, and do not
// listen. Without it a daemon that was just stopped keeps its successor out by its
// closing connections; with it while the address is only reserved, another process
// can take it.
func share(fd, on int) error {
	return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, on)
}

// Listen begins to take connections; the reservation is over.
func (r *Reservation) Listen() (net.Listener, error) {
	defer r.file.Close()
	raw, err := r.file.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", r.addr, err)
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = errors.Join(share(int(fd), 1), syscall.Listen(int(fd), backlog)) })
	if err == nil {
		err = listenErr
	}
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", r.addr, err)
	}
	return net.FileListener(r.file)
}

// Close gives the address up.
func (r *Reservation) Close() error { return r.file.Close() }
