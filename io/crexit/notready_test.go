package crexit_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crforward"
	"camphorroad/core/crpolicy"
	"camphorroad/io/crclock"
	"camphorroad/io/crexit"
	"camphorroad/io/crhop"
)

// A restarted daemon may get forwards before its configuration. Without a distinct fault,
// entries would prefer its seemingly idle targets and refuse callers within their rate.
func TestRefusalBeforePolicyHasNotReadyFault(t *testing.T) {
	g := gomega.NewWithT(t)
	exit := crexit.New(crexit.Options{
		Targets:       []crexit.TargetSpec{{Name: "t", Service: "s", Addr: "127.0.0.1:1"}},
		PauseDetector: crforward.NewPauseDetector(time.Hour, crclock.Now()),
		Clock:         crclock.Now,
	})
	ex := exit.Run(t.Context(), exit.LocalLedger(), forward(1, crpolicy.ClassOnce), strings.NewReader(""))
	g.Expect(ex.Response.Kind).To(gomega.Equal(crhop.KindRefusal))
	g.Expect(ex.Response.NotRun).To(gomega.BeTrue())
	g.Expect(ex.Response.Fault).To(gomega.Equal(crhop.FaultNotReady))
}
