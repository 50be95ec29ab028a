package crlog_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/io/crlog"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// When nothing reads standard output, lines are dropped and counted, and requests
// that log are not delayed.
func TestQueueWriteDoesNotBlock(t *testing.T) {
	g := gomega.NewWithT(t)
	q := crlog.NewQueue()
	w := blockedWriter{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx, w) }()
	log := crlog.New(q, "info", "d1")
	began := time.Now()
	for range 5000 {
		log.Event(crlog.MeshReady, nil)
	}
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second))
	g.Expect(q.Dropped()).To(gomega.BeNumerically(">", 3000))
	g.Expect(q.Dropped()).To(gomega.BeZero(), "Dropped resets the count")
	close(w.release)
	cancel()
	g.Expect(<-ended).To(gomega.Succeed())
}

func TestQueueFlushesAfterCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	q := crlog.NewQueue()
	log := crlog.New(q, "info", "d1")
	for range 10 {
		log.Event(crlog.MeshStopped, nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	g.Expect(q.Run(ctx, &out)).To(gomega.Succeed())
	g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(gomega.Equal(10))
}

// BenchmarkEvent measures the cost of logging one failed request, as seen by the
// goroutine that logs it.
func BenchmarkEvent(b *testing.B) {
	q := crlog.NewQueue()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = q.Run(ctx, &bytes.Buffer{}) }() // ends with the context
	log := crlog.New(q, "info", "d1")
	f := crlog.Fields{"request": "9c41d07be2a35f68", "status": "500", "choice": "room", "took": "14ms"}
	for b.Loop() {
		log.Event(crlog.RequestFailed, f)
	}
}
