package e2e_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"camphorroad/lab/crstage"
)

const (
	hostileNet  = 91 // second byte of the loopback addresses
	ordinaryKey = "crk_ordinary"
	hostileKey  = "crk_hostile"

	// The machine of the daemon, and the bounds that it implies.
	hostileMemoryMB      = 64
	hostileDescriptors   = 400
	maxHostileDescriptor = hostileDescriptors * 9 / 10
	maxHostileReadMB     = 64

	// The crowd.
	hostileCallers    = 40
	hostileReopens    = 10
	hostileIdle       = 500 // connections that send nothing, or little
	hostileBytes      = 16 << 20
	hostileHeadBytes  = 1 << 20
	hostileTime       = 2 * time.Second
	hostileChunkBytes = 64 << 10
)

const (
	hostileGet  = "GET /look/rover-7 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + hostileKey + "\r\nRequest-Id: hostile\r\nDeadline-Milliseconds: 2000\r\n\r\n"
	hostilePost = "POST /hold/rover-7 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + hostileKey + "\r\nRequest-Id: hostile\r\nDeadline-Milliseconds: 2000\r\nContent-Length: 1\r\n\r\nx"
	hostileLine = "GET /look/rover-7 HTTP/1.1\r\nHost: h.example\r\n"
	chunkedPost = "POST /hold/rover-7 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + hostileKey + "\r\nRequest-Id: hostile\r\nDeadline-Milliseconds: 2000\r\n" +
		"Transfer-Encoding: chunked\r\nTrailer: A1\r\n\r\n1\r\nx\r\n0\r\n"
	shortField = "a1:\r\n"
)

// hostileCaller is what each connection of a crowd sends: a start, and a text that is repeated.
type hostileCaller struct {
	start, repeat string
	bytes         int           // after which it is silent
	reopen        int           // times that the connection is opened again
	pause         time.Duration // between two writes of repeat; zero: writes of hostileChunkBytes
}

// joinedDaemon is a process of `camphorroad join`.
type joinedDaemon struct {
	cmd    *exec.Cmd
	exited chan struct{}
	host   string
}

var _ = Describe("A daemon whose clients exceed the limits", Ordered, ContinueOnFailure, func() {
	var binary string

	// The daemon is built without the race detector, which multiplies memory.
	BeforeAll(func() {
		binary = filepath.Join(GinkgoT().TempDir(), "camphorroad")
		out, err := exec.CommandContext(context.Background(), "go", "build", "-o", binary, "camphorroad/cmd/camphorroad").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})

	survives := func(port, callers int, caller hostileCaller) {
		d := startJoined(binary)
		leave := d.beset(port, callers, caller)
		d.expectAlive()
		leave()
		d.expectAlive()
	}
	withinBounds := func(port int, caller hostileCaller) { survives(port, hostileCallers, caller) }

	// Guards against memory without bound for heads that consist of short fields.
	DescribeTable("survives heads of short fields at", func(port int) {
		withinBounds(port, hostileCaller{start: hostileLine, repeat: shortField, bytes: hostileHeadBytes})
	},
		Entry("callers' address", crstage.PortCaller),
		Entry("ready address", crstage.PortReady),
		Entry("peers' address", crstage.PortPeer),
		Entry("pages' address", crstage.PortPages),
		Entry("control address", crstage.PortControl),
	)

	// Guards against memory, descriptors and reads without bound for clients that do not keep to HTTP.
	DescribeTable("survives", func(caller hostileCaller) { withinBounds(crstage.PortCaller, caller) },
		Entry("heads of short fields on connections that are opened again and again",
			hostileCaller{start: hostileLine, repeat: shortField, bytes: hostileHeadBytes, reopen: hostileReopens}),
		Entry("heads of short fields behind a whole request",
			hostileCaller{start: hostileGet + hostileLine, repeat: shortField, bytes: hostileHeadBytes}),
		Entry("a field value without end", hostileCaller{start: hostileLine + "a: ", repeat: "x", bytes: hostileBytes}),
		Entry("a request line without end", hostileCaller{start: "GET /", repeat: "x", bytes: hostileBytes}),
		Entry("empty lines without end", hostileCaller{repeat: "\r\n", bytes: hostileBytes}),
		Entry("empty lines without end behind a GET", hostileCaller{start: hostileGet, repeat: "\r\n", bytes: hostileBytes}),
		Entry("empty lines without end behind a POST", hostileCaller{start: hostilePost, repeat: "\r\n", bytes: hostileBytes}),
		Entry("trailers without end", hostileCaller{start: chunkedPost, repeat: shortField, bytes: hostileBytes}),
		Entry("200 requests ahead, then empty lines without end",
			hostileCaller{start: strings.Repeat(hostileGet, 200), repeat: "\r\n", bytes: hostileBytes}),
		Entry("heads that trickle", hostileCaller{start: hostileLine, repeat: shortField, bytes: hostileHeadBytes, pause: 20 * time.Millisecond}),
	)

	// Guards against callers' connections that take all descriptors of the process.
	DescribeTable("survives connections, more than its descriptors,", func(caller hostileCaller) {
		survives(crstage.PortCaller, hostileIdle, caller)
	},
		Entry("that send nothing", hostileCaller{}),
		Entry("that send a part of a head", hostileCaller{start: hostileLine}),
		Entry("that are idle after a request", hostileCaller{start: hostileGet}),
		Entry("that send 200 requests ahead, then empty lines",
			hostileCaller{start: strings.Repeat(hostileGet, 200), repeat: "\r\n", bytes: hostileHeadBytes}),
	)
})

// startJoined starts a daemon beside stand-ins of the platform, and ends it with the spec.
func startJoined(binary string) *joinedDaemon {
	GinkgoHelper()
	ctx := context.Background()
	env, err := crstage.Start(ctx, crstage.Options{
		Dir: GinkgoT().TempDir(), Machines: 1, Net: hostileNet, Key: ordinaryKey, Memory: hostileMemoryMB,
		Accounts: []crstage.Account{{Name: "hostile", Keys: []string{hostileKey}}},
	})
	must(err)
	DeferCleanup(env.Close)
	d := &joinedDaemon{exited: make(chan struct{}), host: fmt.Sprintf("127.%d.1.10", hostileNet)}
	d.cmd = exec.CommandContext(ctx, "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, hostileDescriptors),
		binary, "join", "--config", env.Machines()[0].File())
	must(d.cmd.Start())
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
	DeferCleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.exited
	})
	Eventually(func() error { return d.get(crstage.PortReady, "/ready") }, "20s", "50ms").Should(Succeed())
	Eventually(func() error { return d.get(crstage.PortCaller, "/look/rover-7") }, "20s", "50ms").Should(Succeed())
	return d
}

func (d *joinedDaemon) address(port int) string { return net.JoinHostPort(d.host, strconv.Itoa(port)) }

// get sends an ordinary request over a connection of its own.
func (d *joinedDaemon) get(port int, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(port)+path, nil)
	if err != nil {
		return err
	}
	req.Close, req.Host = true, "h.example"
	req.Header.Set("Request-Id", strconv.FormatInt(time.Now().UnixNano(), 16))
	req.Header.Set("Authorization", "Bearer "+ordinaryKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err = io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}

// beset opens connections at a port and returns once the daemon has closed all of them, or the time has passed.
// The others stay open until the returned function is called.
func (d *joinedDaemon) beset(port, callers int, caller hostileCaller) (leave func()) {
	ctx, cancel := context.WithTimeout(context.Background(), hostileTime)
	defer cancel()
	var wg sync.WaitGroup
	conns := make([]net.Conn, callers)
	for i := range conns {
		wg.Go(func() { conns[i] = caller.run(ctx, d.address(port)) })
	}
	wg.Wait()
	return func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

// run sends, waits until the last connection is closed or the context ends, and returns that connection.
func (h hostileCaller) run(ctx context.Context, address string) net.Conn {
	deadline, _ := ctx.Deadline()
	for n := 0; ; n++ {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil
		}
		_ = c.SetDeadline(deadline)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, c) // ends with the deadline at the latest
		}()
		h.send(c)
		if n >= h.reopen {
			<-closed
			return c
		}
		_ = c.Close()
	}
}

func (h hostileCaller) send(c net.Conn) {
	if _, err := io.WriteString(c, h.start); err != nil || h.repeat == "" {
		return
	}
	text := h.repeat
	if h.pause == 0 {
		text = strings.Repeat(h.repeat, hostileChunkBytes/len(h.repeat))
	}
	for sent := 0; sent < h.bytes; sent += len(text) {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		time.Sleep(h.pause)
	}
}

// expectAlive expects that the process runs within its bounds, and that ordinary requests are answered.
func (d *joinedDaemon) expectAlive() {
	GinkgoHelper()
	Expect(d.exited).NotTo(BeClosed())
	peak, descriptors, read := d.memoryMB("VmHWM"), d.descriptors(), d.readMB()
	AddReportEntry(fmt.Sprintf("peak %d MB, now %d MB, %d descriptors, %d MB read, %v processor time",
		peak, d.memoryMB("VmRSS"), descriptors, read, d.processorTime()), ReportEntryVisibilityFailureOrVerbose)
	caller, ready := d.get(crstage.PortCaller, "/look/rover-7"), d.get(crstage.PortReady, "/ready")
	Expect(peak).To(BeNumerically("<", hostileMemoryMB), "peak of the memory in MB")
	Expect(descriptors).To(BeNumerically("<", maxHostileDescriptor), "open descriptors")
	Expect(read).To(BeNumerically("<", maxHostileReadMB), "MB read")
	Expect(caller).NotTo(HaveOccurred(), "an ordinary request")
	Expect(ready).NotTo(HaveOccurred(), "the ready page")
}

// proc returns the number after a name in a file of the process in /proc.
func (d *joinedDaemon) proc(file, name string) int {
	GinkgoHelper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", d.cmd.Process.Pid, file))
	must(err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.Atoi(strings.Fields(value)[0])
			must(err)
			return n
		}
	}
	Fail("no " + name + " in " + file)
	return 0
}

func (d *joinedDaemon) memoryMB(name string) int { return d.proc("status", name) >> 10 }

func (d *joinedDaemon) readMB() int { return d.proc("io", "rchar") >> 20 }

func (d *joinedDaemon) descriptors() int {
	GinkgoHelper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	must(err)
	return len(list)
}

// processorTime is only reported.
func (d *joinedDaemon) processorTime() time.Duration {
	GinkgoHelper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	must(err)
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const user, system, ticks = 11, 12, 100
	var sum int
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		must(err)
		sum += n
	}
	return time.Duration(sum) * time.Second / ticks
}
