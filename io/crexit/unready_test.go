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

// A daemon that has just restarted gets forwards before its configuration. If
// its refusal looked like any other, entries would take its targets for idle
// ones and send them ever more; callers would be refused inside their rate.
func TestRefusalBeforeThePolicySaysSo(t *testing.T) {
	g := gomega.NewWithT(t)
	exit := crexit.New(crexit.Options{
		Targets: []crexit.Spec{{Name: "t", Service: "s", Addr: "127.0.0.1:1"}},
		Pulse:   crforward.NewPauseDetector(time.Hour, crclock.Now()),
		Clock:   crclock.Now,
	})
	ex := exit.Run(t.Context(), exit.Own(), forward(1, crpolicy.ClassOnce), strings.NewReader(""))
	g.Expect(ex.Response.Kind).To(gomega.Equal(crhop.KindRefusal))
	g.Expect(ex.Response.NotRun).To(gomega.BeTrue())
	g.Expect(ex.Response.Fault).To(gomega.Equal(crhop.FaultNotReady))
}
