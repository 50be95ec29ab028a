package crbudget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crbudget"
	"camphorroad/core/crid"
)

func TestPaymentTakesFromThePoolWhatItsOwnPartDoesNotCover(t *testing.T) {
	g := gomega.NewWithT(t)
	b := crbudget.New(crbudget.Params{Ratio: 1, Window: 10 * time.Second}, settled)
	b.RecordRequest(start, "book")
	b.RecordRequest(start, "book")
	book := crbudget.Retry{Service: "book", FleetSize: 1, Cost: 1}
	desk := crbudget.Retry{Service: "desk", FleetSize: 1, Cost: 1.4}
	granted := map[crid.Service]int{}
	left := 2
	take := func(s crid.Service) bool {
		if left == 0 {
			return false
		}
		left--
		granted[s]++
		return true
	}
	p := crbudget.NewPayment(b)
	g.Expect(p.Pay(start, []crbudget.Retry{book, desk}, take)).To(gomega.BeTrue())
	g.Expect(granted).To(gomega.Equal(map[crid.Service]int{"desk": 2}))
	g.Expect(p.String()).To(gomega.Equal("book: 1.0, desk: 1.4 pooled"))

	p.Cancel(start)
	spent, _ := b.Balance(start, "book", 1)
	g.Expect(spent).To(gomega.BeZero())
	g.Expect(p.Pay(start, []crbudget.Retry{book, desk}, take)).To(gomega.BeTrue(), "what the pool granted is still unused")
	p.Finish()
	g.Expect(p.Pay(start, []crbudget.Retry{book, desk}, take)).To(gomega.BeFalse())
	spent, _ = b.Balance(start, "book", 1)
	g.Expect(spent).To(gomega.Equal(1.0), "nothing is taken for a retry that is not paid in full")
}
