package crtarget_test

import (
	"context"
	"os/exec"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/lab/crtarget"
)

// Guards against a target that cannot start again at its address while processes are being started.
func TestTargetStartsAgainWhileProcessesStart(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	t.Cleanup(cancel)
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = exec.CommandContext(ctx, "true").Run() // ended by the end of the test at times
			}
		})
	}
	address := "127.0.0.1:0"
	for range 200 {
		target, err := crtarget.Start(crtarget.Options{Address: address, ID: "i-1", Slots: 1})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		address = target.Address()
		target.Close()
	}
}
