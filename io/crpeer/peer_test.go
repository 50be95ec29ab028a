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

type note struct {
	Text string `cbor:"t"`
}

// MessageKind implements crevent.Message.
func (note) MessageKind() string { return "note" }

type stranger struct {
	Text string `cbor:"t"`
}

// MessageKind implements crevent.Message.
func (stranger) MessageKind() string { return "stranger" }

// inbox keeps what a transport's peers send; streams are held until the end.
type inbox struct {
	mu      sync.Mutex
	notes   []string
	from    []crid.Daemon
	streams int
}

func (b *inbox) Message(from crid.Daemon, msg crevent.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.from = append(b.from, from)
	if n, ok := msg.(note); ok {
		b.notes = append(b.notes, n.Text[:min(len(n.Text), 8)])
	}
}

func (b *inbox) Open(context.Context, crid.Daemon) func(context.Context, *quic.Stream) {
	return func(ctx context.Context, s *quic.Stream) {
		b.mu.Lock()
		b.streams++
		b.mu.Unlock()
		_, _ = io.Copy(io.Discard, s)
		<-ctx.Done()
	}
}

func (b *inbox) got() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.notes...)
}

func (b *inbox) held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.streams
}

func authority(t *testing.T, names ...string) string {
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

func listen(t *testing.T, id *crpeer.Identity, msgs ...crevent.Message) (*crpeer.Transport, *inbox) {
	t.Helper()
	return listenIdle(t, 0, id, msgs...)
}

// listenIdle listens with a bound of its own on unused sessions.
func listenIdle(t *testing.T, idle time.Duration, id *crpeer.Identity, msgs ...crevent.Message) (*crpeer.Transport, *inbox) {
	t.Helper()
	g := gomega.NewWithT(t)
	reg, err := crwire.NewRegistry(msgs)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	box := &inbox{}
	tr, err := crpeer.Listen(context.Background(), crpeer.Options{Addr: "127.0.0.1:0", Identity: id, Registry: reg, Handler: box, Idle: idle})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = tr.Close() })
	return tr, box
}

func pair(t *testing.T) (near, far *crpeer.Transport, box *inbox) {
	dir := authority(t, "near", "far")
	near, _ = listen(t, identity(t, dir, "near"), note{}, stranger{})
	far, box = listen(t, identity(t, dir, "far"), note{})
	near.SetAddrs(map[crid.Daemon]string{"far": far.Addr()})
	return near, far, box
}

// Messages that are too long, or of a kind that this version does not know, come
// from a newer or broken daemon. They are dropped, and the ones after them arrive.
func TestBadMessagesAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _, box := pair(t)
	g.Expect(near.Send("far", stranger{Text: "x"})).To(gomega.Succeed())
	g.Expect(near.Send("far", note{Text: strings.Repeat("y", 8<<20)})).To(gomega.Succeed())
	g.Expect(near.Send("far", note{Text: strings.Repeat("long", 10_000)})).To(gomega.Succeed())
	g.Expect(near.Send("far", note{Text: "short"})).To(gomega.Succeed())
	g.Eventually(box.got, 5*time.Second).Should(gomega.ConsistOf("longlong", "short"))
}

// A peer does not answer. Sending to it must neither wait nor pile up, and a dead
// peer must not be dialled for each request.
func TestADeadPeerHoldsNobodyUp(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _, _ := pair(t)
	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = silent.Close() }()
	near.SetAddrs(map[crid.Daemon]string{"dead": silent.LocalAddr().String()})
	start := time.Now()
	full := 0
	for range 200 {
		if near.Send("dead", note{Text: "x"}) != nil {
			full++
		}
	}
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 200*time.Millisecond))
	g.Expect(full).To(gomega.BeNumerically(">=", 200-64-2))
	_, err = near.Session(t.Context(), "dead")
	g.Expect(err).To(gomega.MatchError(crpeer.ErrUnreachable))
	start = time.Now()
	_, err = near.Session(t.Context(), "dead")
	g.Expect(err).To(gomega.MatchError(crpeer.ErrUnreachable))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 50*time.Millisecond), "no second dial at once")
	_, err = near.Session(t.Context(), "nobody")
	g.Expect(err).To(gomega.MatchError(crpeer.ErrUnknownPeer))
}

// A peer moves to another address, as when its instance is replaced. The next use
// dials it there.
func TestASessionFollowsItsPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := authority(t, "near", "far")
	near, _ := listen(t, identity(t, dir, "near"), note{})
	first, _ := listen(t, identity(t, dir, "far"), note{})
	second, box := listen(t, identity(t, dir, "far"), note{})
	near.SetAddrs(map[crid.Daemon]string{"far": first.Addr()})
	old, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	same, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(same).To(gomega.BeIdenticalTo(old))
	near.SetAddrs(map[crid.Daemon]string{"far": second.Addr()})
	g.Expect(near.Send("far", note{Text: "hello"})).To(gomega.Succeed())
	g.Eventually(box.got).Should(gomega.ConsistOf("hello"))
	g.Eventually(old.Context().Done()).Should(gomega.BeClosed())
}

// So many requests run over one session that the peer takes no more streams. The
// next is refused as not sent, at once, and goes elsewhere.
func TestTheBoundOfStreamsRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _, box := pair(t)
	s, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	start := time.Now()
	opened := 0
	for ; opened <= 5000; opened++ {
		stream, openErr := s.Open()
		if openErr != nil {
			err = openErr
			break
		}
		_, _ = stream.Write([]byte{1})
	}
	g.Expect(err).To(gomega.MatchError(crpeer.ErrUnreachable))
	g.Expect(opened).To(gomega.Equal(4096))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*time.Second))
	g.Eventually(box.held, 5*time.Second).Should(gomega.Equal(4096))
}

// Somebody without a certificate of the fleet, or with one of another name, talks
// to a daemon. It must get no stream and no message through.
func TestAPeerWithoutAValidCertificateGetsNothing(t *testing.T) {
	dir := authority(t, "far", "other")
	other := authority(t, "near")
	cases := []struct {
		name string
		cert *tls.Certificate
		want int // streams that get through
	}{
		{"no certificate", nil, 0},
		{"another authority", certificate(t, other, time.Now().Add(time.Hour)), 0},
		{"expired", certificate(t, dir, time.Now().Add(-time.Minute)), 0},
		{"a valid one, to show that the others could", certificate(t, dir, time.Now().Add(time.Hour)), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			far, box := listen(t, identity(t, dir, "far"), note{})
			conf := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"camphor/1"}} //nolint:gosec // plays an intruder
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
					g.Eventually(box.held).Should(gomega.Equal(c.want))
					_ = conn.CloseWithError(0, "")
				}
				g.Eventually(conn.Context().Done(), 2*time.Second).Should(gomega.BeClosed())
			}
			g.Expect(box.held()).To(gomega.Equal(c.want))
			g.Expect(box.got()).To(gomega.BeEmpty())
		})
	}
	t.Run("the right authority, another name", func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, _ := listen(t, identity(t, dir, "other"), note{})
		posing, box := listen(t, identity(t, dir, "far"), note{})
		near.SetAddrs(map[crid.Daemon]string{"booking": posing.Addr()})
		_, err := near.Session(t.Context(), "booking")
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("valid for far")))
		g.Expect(box.held()).To(gomega.BeZero())
	})
}

// certificate signs one for "near" by the authority in dir.
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

// The authority and the certificates are replaced while sessions go on. Old
// sessions live, new ones use the new material, and nothing restarts.
func TestRotationWithoutRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := authority(t, "near", "far"), authority(t, "near", "far")
	nearID, farID := identity(t, before, "near"), identity(t, before, "far")
	near, _ := listen(t, nearID, note{})
	far, box := listen(t, farID, note{})
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

	g.Expect(old.Context().Err()).NotTo(gomega.HaveOccurred(), "the old session goes on")
	near.Retire(old)
	renewed, err := near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the new certificate is trusted")
	g.Expect(renewed).NotTo(gomega.BeIdenticalTo(old))
	g.Expect(near.Send("far", note{Text: "hello"})).To(gomega.Succeed())
	g.Eventually(box.got).Should(gomega.ConsistOf("hello"))

	g.Expect(os.WriteFile(filepath.Join(before, "far.key"), []byte("broken"), 0o600)).To(gomega.Succeed())
	g.Expect(farID.Reload()).NotTo(gomega.Succeed())
	near.Retire(renewed)
	_, err = near.Session(t.Context(), "far")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a reload that fails changes nothing")
}

func read(t *testing.T, dir, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, name))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return b
}
