package crentry

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// Reservation is a listen address for callers that is bound but not listened on. The
// kernel refuses connections to it, so that callers try another address at once, and
// no other process can bind it.
type Reservation struct {
	file *os.File
	addr string
}

// backlog is how many connections may wait to be accepted. The kernel may allow
// fewer.
const backlog = 4096

// Reserve binds a TCP address. It fails if the address is in use.
func Reserve(addr string) (*Reservation, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve the listen address for callers %q: %w", addr, err)
	}
	family, sockaddr := socketAddress(a)
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("create the listen socket for callers: %w", err)
	}
	file := os.NewFile(uintptr(fd), addr)
	if err := bind(fd, family, sockaddr); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("bind the listen address for callers %s: %w", addr, err)
	}
	return &Reservation{file: file, addr: addr}, nil
}

// socketAddress returns the address family and the address for the system calls. An
// address without a host means all addresses of IPv6 and IPv4.
func socketAddress(a *net.TCPAddr) (int, syscall.Sockaddr) {
	if ip := a.IP.To4(); ip != nil {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(ip)}
	}
	sa := &syscall.SockaddrInet6{Port: a.Port}
	copy(sa.Addr[:], a.IP)
	return syscall.AF_INET6, sa
}

func bind(fd, family int, sa syscall.Sockaddr) error {
	if err := setReuseAddr(fd, 1); err != nil {
		return err
	}
	if family == syscall.AF_INET6 {
		if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_IPV6, syscall.IPV6_V6ONLY, 0); err != nil {
			return err
		}
	}
	if err := syscall.Bind(fd, sa); err != nil {
		return err
	}
	return setReuseAddr(fd, 0)
}

// setReuseAddr sets SO_REUSEADDR. It must be set for bind: without it the closing
// connections of a daemon that has just stopped keep its successor from binding the
// address. It must be unset while the address is only reserved: with it another process
// could bind the address.
func setReuseAddr(fd, on int) error {
	return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, on)
}

// Listen starts to accept connections and ends the reservation.
func (r *Reservation) Listen() (net.Listener, error) {
	defer r.file.Close()
	raw, err := r.file.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", r.addr, err)
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = errors.Join(setReuseAddr(int(fd), 1), syscall.Listen(int(fd), backlog)) })
	if err == nil {
		err = listenErr
	}
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", r.addr, err)
	}
	return net.FileListener(r.file)
}

// Close releases the address.
func (r *Reservation) Close() error { return r.file.Close() }
