package croffer

import (
	"net/url"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestOfferFieldsInTheURIAreRestored(t *testing.T) {
	for _, o := range []Offer{{}, {FreeSlot: true}, {Attempt: 350 * time.Millisecond}, {FreeSlot: true, Attempt: time.Second}} {
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
