package crlog_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/io/crlog"
)

// stalled is a reader of the log that takes nothing.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Nobody reads standard output any more. Lines are lost and counted; what writes
// them, a request, goes on.
func TestAStalledReaderStallsNoWriter(t *testing.T) {
	g := gomega.NewWithT(t)
	q := crlog.NewQueue()
	reader := stalled{release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx, reader) }()
	log := crlog.New(q, "info", "d1")
	began := time.Now()
	for range 5000 {
		log.Event(crlog.MeshReady, nil)
	}
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second))
	g.Expect(q.Dropped()).To(gomega.BeNumerically(">", 3000))
	g.Expect(q.Dropped()).To(gomega.BeZero(), "told once")
	close(reader.release)
	cancel()
	g.Expect(<-ended).To(gomega.Succeed())
}

func TestWhatWaitsIsWrittenAtTheEnd(t *testing.T) {
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

// BenchmarkEvent is the cost of one line of a failed request to the goroutine
// that writes it.
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
