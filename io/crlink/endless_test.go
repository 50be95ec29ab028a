package crlink_test

import (
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/io/crlink"
	"camphorroad/lab/crtarget"
)

// allocated returns the bytes that f allocates, and how long it takes.
func allocated(f func()) (bytes uint64, took time.Duration) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	f()
	took = time.Since(began)
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc, took
}

// Guards against a target that uses up the memory of its machine with a response that does not end.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	const maxMemory = 64 << 20 // that a daemon may use for its control
	for _, part := range crtarget.AllEndless() {
		t.Run(string(part), func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, pool := startTarget(t, crtarget.Behaviour{Endless: part})
			var err error
			memory, took := allocated(func() { _, err = exchange(t, pool, "a") })
			if part != crtarget.EndlessExtra {
				g.Expect(err).To(gomega.HaveOccurred())
			}
			g.Expect(memory).To(gomega.BeNumerically("<", uint64(maxMemory)))
			g.Expect(took).To(gomega.BeNumerically("<", 3*time.Second), "within its deadline")
			_, err = exchange(t, pool, "b")
			if part == crtarget.EndlessExtra {
				g.Expect(err).NotTo(gomega.HaveOccurred(), "on another connection")
			}
		})
	}
}

// Guards against a target that holds a request for longer than its time by sending a byte now and then.
func TestSlowEndlessResponseEndsWithTheDeadline(t *testing.T) {
	for _, part := range crtarget.AllEndless() {
		if part == crtarget.EndlessExtra {
			continue
		}
		t.Run(string(part), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			_, pool := startTarget(t, crtarget.Behaviour{Endless: part, Pace: 20 * time.Millisecond})
			began := time.Now()
			_, err := exchange(t, pool, "a") // within two seconds
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second))
		})
	}
}

// Guards against bodies that exceed the memory of the machine together, while each of them is allowed.
func TestResponsesThatAreReadTogetherAreBounded(t *testing.T) {
	const requests = 16
	g := gomega.NewWithT(t)
	target, pool := startTarget(t, crtarget.Behaviour{Endless: crtarget.EndlessBody})
	errs := make(chan error, requests)
	for range requests {
		go func() {
			_, err := exchange(t, pool, "a")
			errs <- err
		}()
	}
	tooLarge := 0
	for range requests {
		if err := <-errs; errors.Is(err, crlink.ErrResponsesTooLarge) {
			tooLarge++
		}
	}
	g.Expect(tooLarge).To(gomega.BeNumerically(">", 0))
	target.SetBehaviour(crtarget.Behaviour{ResponseBytes: 1 << 20})
	_, err := exchange(t, pool, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "their memory may be used again")
}

// Guards against a body that is read although its declared length is too large.
func TestResponseOfTooLargeDeclaredLengthIsGivenUpAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	_, pool := startTarget(t, crtarget.Behaviour{Endless: crtarget.EndlessDeclared, Pace: 20 * time.Millisecond})
	began := time.Now()
	_, err := exchange(t, pool, "a")
	g.Expect(err).To(gomega.MatchError(crlink.ErrResponseTooLarge))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second), "before its deadline")
}
