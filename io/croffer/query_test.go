package croffer

import (
	"net/url"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestOfferFieldsInTheURIAreRestored(t *testing.T) {
	for _, o := range []Offer{{}, {FreeSlot: true}, {Attempt: 350 * time.Millisecond}, {FreeSlot: true, Attempt: time.Second}, {Limit: 2.5}, {FreeSlot: true, Attempt: time.Second, Limit: 1e-3}} {
		g := gomega.NewWithT(t)
		uri, err := url.Parse(PathOffer + o.query())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var got Offer
		got.parseQuery(uri.RawQuery)
		g.Expect(got).To(gomega.Equal(o))
	}
}

func TestInvalidAttemptIsIgnored(t *testing.T) {
	for _, value := range []string{"-5", "soon", "99999999999"} {
		var got Offer
		got.parseQuery(queryAttempt + value)
		gomega.NewWithT(t).Expect(got.Attempt).To(gomega.BeZero(), value)
	}
}

func TestInvalidLimitIsIgnored(t *testing.T) {
	for _, value := range []string{"-5", "0", "soon", "NaN", "Inf"} {
		var got Offer
		got.parseQuery(queryLimit + value)
		gomega.NewWithT(t).Expect(got.Limit).To(gomega.BeZero(), value)
	}
}
