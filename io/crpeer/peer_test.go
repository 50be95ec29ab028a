package crpeer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"go.uber.org/goleak"

	"camphorroad/core/crevent"
	"camphorroad/core/crid"
	"camphorroad/io/crcert"
	"camphorroad/io/crpeer"
	"camphorroad/io/crwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type knownMessage struct {
	Text string `cbor:"t"`
}

// MessageKind implements crevent.Message.
func (knownMessage) MessageKind() string { return "known" }

type unknownMessage struct {
	Text string `cbor:"t"`
}

// MessageKind implements crevent.Message.
func (unknownMessage) MessageKind() string { return "unknown" }

// recorder is a Handler that records messages and streams; streams stay open until the
// session ends.
type recorder struct {
	mu       sync.Mutex
	messages []string
	from     []crid.Daemon
	streams  int
}

func (r *recorder) HandleMessage(from crid.Daemon, msg crevent.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from = append(r.from, from)
	if n, ok := msg.(knownMessage); ok {
		r.messages = append(r.messages, n.Text[:min(len(n.Text), 8)])
	}
}

func (r *recorder) AcceptSession(context.Context, crid.Daemon) func(context.Context, *quic.Stream) {
	return func(ctx context.Context, s *quic.Stream) {
		r.mu.Lock()
		r.streams++
		r.mu.Unlock()
		_, _ = io.Copy(io.Discard, s)
		<-ctx.Done()
	}
}

func (r *recorder) received() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.messages...)
}

func (r *recorder) streamCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams
}

func issueCerts(t *testing.T, names ...string) string {
	t.Helper()
	dir := t.TempDir()
	gomega.NewWithT(t).Expect(crcert.Issue(dir, names...)).To(gomega.Succeed())
	return dir
}

func identity(t *testing.T, dir, name string) *crpeer.Identity {
	t.Helper()
	id, err := crpeer.LoadIdentity(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "ca.pem"))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return id
}

func listen(t *testing.T, id *crpeer.Identity, msgs ...crevent.Message) (*crpeer.Transport, *recorder) {
	t.Helper()
	return listenIdle(t, 0, id, msgs...)
}

// listenIdle listens with the given idle timeout; 0 selects the default.
func listenIdle(t *testing.T, idle time.Duration, id *crpeer.Identity, msgs ...crevent.Message) (*crpeer.Transport, *recorder) {
	t.Helper()
	g := gomega.NewWithT(t)
	reg, err := crwire.NewRegistry(msgs)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rec := &recorder{}
	tr, err := crpeer.Listen(context.Background(), crpeer.Options{Addr: "127.0.0.1:0", Identity: id, Registry: reg, Handler: rec, IdleTimeout: idle})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = tr.Close() })
	return tr, rec
}

func pair(t *testing.T) (near, far *crpeer.Transport, rec *recorder) {
	dir := issueCerts(t, "near", "far")
	near, _ = listen(t, identity(t, dir, "near"), knownMessage{}, unknownMessage{})
	far, rec = listen(t, identity(t, dir, "far"), knownMessage{})
	near.SetAddrs(map[crid.Daemon]string{"far": far.Addr()})
	return near, far, rec
}

// A newer or faulty daemon sends messages that are too long or of an unknown kind.
// They must be dropped, and later ones must arrive.
func TestInvalidMessagesAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _, rec := pair(t)
	g.Expect(near.Send("far", unknownMessage{Text: "x"})).To(gomega.Succeed())
	g.Expect(near.Send("far", knownMessage{Text: strings.Repeat("y", 8<<20)})).To(gomega.Succeed())
	g.Expect(near.Send("far", knownMessage{Text: strings.Repeat("long", 10_000)})).To(gomega.Succeed())
	g.Expect(near.Send("far", knownMessage{Text: "short"})).To(gomega.Succeed())
	g.Eventually(rec.received, 5*time.Second).Should(gomega.ConsistOf("longlong", "short"))
}

// A peer does not respond. Send must neither block nor queue without bound, and the
// peer must not be dialled for each request.
func TestUnresponsivePeerDoesNotBlockSenders(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _, _ := pair(t)
	unresponsive, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = unresponsive.Close() }()
	near.SetAddrs(map[crid.Daemon]string{"hung": unresponsive.LocalAddr().String()})
	start := time.Now()
	rejected := 0
	for range 200 {
		if near.Send("hung", knownMessage{Text: "x"}) != nil {
			rejected++
		}
	}
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 200*time.Millisecond))
	g.Expect(rejected).To(gomega.BeNumerically(">=", 200-64-2))
	_, err = near.Session(t.Context(), "hung")
	g.Expect(err).To(gomega.MatchError(crpeer.ErrUnreachable))
	start = time.Now()
	_, err = near.Session(t.Context(), "hung")
	g.Expect(err).To(gomega.MatchError(crpeer.ErrUnreachable))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 50*time.Millisecond), "no second dial within the backoff")
	_, err = near.Session(t.Context(), "nobody")
	g.Expect(err).To(gomega.MatchError(crpeer.ErrUnknownPeer))
}

// A peer gets another address, as when its instance is replaced. The next use must
// dial the new address.
func TestSessionIsRedialledAtANewAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := issueCerts(t, "near", "far")
	near, _ := listen(t, identity(t, dir, "near"), knownMessage{})
	first, _ := listen(t, identity(t, dir, "far"), knownMessage{})
	second, rec := listen(t, identity(t, dir, "far"), knownMessage{})
	near.SetAddrs(map[crid.Daemon]string{"far": first.Addr()})
	old, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	same, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(same).To(gomega.BeIdenticalTo(old))
	near.SetAddrs(map[crid.Daemon]string{"far": second.Addr()})
	g.Expect(near.Send("far", knownMessage{Text: "hello"})).To(gomega.Succeed())
	g.Eventually(rec.received).Should(gomega.ConsistOf("hello"))
	g.Eventually(old.Context().Done()).Should(gomega.BeClosed())
}

// A session has reached the peer's stream limit. The next stream must fail at once
// with ErrUnreachable, so that the request can be sent to another target.
func TestOpenStreamFailsAtTheStreamLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _, rec := pair(t)
	s, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	start := time.Now()
	opened := 0
	for ; opened <= 5000; opened++ {
		stream, openErr := s.OpenStream()
		if openErr != nil {
			err = openErr
			break
		}
		_, _ = stream.Write([]byte{1})
	}
	g.Expect(err).To(gomega.MatchError(crpeer.ErrUnreachable))
	g.Expect(opened).To(gomega.Equal(4096))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*time.Second))
	g.Eventually(rec.streamCount, 5*time.Second).Should(gomega.Equal(4096))
}

// A client has no valid certificate, or the certificate of a server has another name.
// Neither may exchange streams or messages with a daemon.
func TestPeerWithoutAValidCertificateIsRejected(t *testing.T) {
	dir := issueCerts(t, "far", "other")
	other := issueCerts(t, "near")
	cases := []struct {
		name string
		cert *tls.Certificate
		want int // accepted streams
	}{
		{"no certificate", nil, 0},
		{"another authority", certificate(t, other, time.Now().Add(time.Hour)), 0},
		{"expired", certificate(t, dir, time.Now().Add(-time.Minute)), 0},
		{"valid certificate", certificate(t, dir, time.Now().Add(time.Hour)), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			far, rec := listen(t, identity(t, dir, "far"), knownMessage{})
			conf := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"camphor/1"}} //nolint:gosec // the test is a rogue client
			if c.cert != nil {
				conf.Certificates = []tls.Certificate{*c.cert}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			conn, err := quic.DialAddr(ctx, far.Addr(), conf, &quic.Config{EnableDatagrams: true})
			if err == nil {
				if s, openErr := conn.OpenStreamSync(ctx); openErr == nil {
					_, _ = s.Write([]byte{1})
				}
				_ = conn.SendDatagram([]byte("x"))
				if c.want > 0 {
					g.Eventually(rec.streamCount).Should(gomega.Equal(c.want))
					_ = conn.CloseWithError(0, "")
				}
				g.Eventually(conn.Context().Done(), 2*time.Second).Should(gomega.BeClosed())
			}
			g.Expect(rec.streamCount()).To(gomega.Equal(c.want))
			g.Expect(rec.received()).To(gomega.BeEmpty())
		})
	}
	t.Run("server with another name", func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, _ := listen(t, identity(t, dir, "other"), knownMessage{})
		impostor, rec := listen(t, identity(t, dir, "far"), knownMessage{})
		near.SetAddrs(map[crid.Daemon]string{"booking": impostor.Addr()})
		_, err := near.Session(t.Context(), "booking")
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("valid for far")))
		g.Expect(rec.streamCount()).To(gomega.BeZero())
	})
}

// certificate issues a certificate for "near", signed by the authority in dir.
func certificate(t *testing.T, dir string, until time.Time) *tls.Certificate {
	t.Helper()
	g := gomega.NewWithT(t)
	read := func(name string) []byte {
		b, err := os.ReadFile(filepath.Join(dir, name))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		block, _ := pem.Decode(b)
		return block.Bytes
	}
	ca, err := x509.ParseCertificate(read("ca.pem"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	caKey, err := x509.ParseECPrivateKey(read("ca.key"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"near"}, NotBefore: until.Add(-time.Hour), NotAfter: until,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca, &key.PublicKey, caKey)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// The authority and the certificates are replaced while sessions are open. Open
// sessions must stay, and new ones must use the new files, without a restart.
func TestCertificatesRotateWithoutRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := issueCerts(t, "near", "far"), issueCerts(t, "near", "far")
	nearID, farID := identity(t, before, "near"), identity(t, before, "far")
	near, _ := listen(t, nearID, knownMessage{})
	far, rec := listen(t, farID, knownMessage{})
	near.SetAddrs(map[crid.Daemon]string{"far": far.Addr()})
	old, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred())

	bundle := append(read(t, before, "ca.pem"), read(t, after, "ca.pem")...)
	g.Expect(os.WriteFile(filepath.Join(before, "ca.pem"), bundle, 0o600)).To(gomega.Succeed())
	g.Expect(nearID.Reload()).To(gomega.Succeed())
	g.Expect(farID.Reload()).To(gomega.Succeed())
	for _, name := range []string{"far.pem", "far.key"} {
		g.Expect(os.WriteFile(filepath.Join(before, name), read(t, after, name), 0o600)).To(gomega.Succeed())
	}
	g.Expect(farID.Reload()).To(gomega.Succeed())

	g.Expect(old.Context().Err()).NotTo(gomega.HaveOccurred(), "a reload must not close open sessions")
	near.Retire(old)
	renewed, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the new certificate is trusted")
	g.Expect(renewed).NotTo(gomega.BeIdenticalTo(old))
	g.Expect(near.Send("far", knownMessage{Text: "hello"})).To(gomega.Succeed())
	g.Eventually(rec.received).Should(gomega.ConsistOf("hello"))

	g.Expect(os.WriteFile(filepath.Join(before, "far.key"), []byte("broken"), 0o600)).To(gomega.Succeed())
	g.Expect(farID.Reload()).NotTo(gomega.Succeed())
	near.Retire(renewed)
	_, err = near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a failed reload keeps the previous credentials")
}

func read(t *testing.T, dir, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, name))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return b
}
