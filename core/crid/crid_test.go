package crid_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
)

func TestInstantArithmetic(t *testing.T) {
	g := gomega.NewWithT(t)
	start := crid.Instant(100)
	later := start.Add(time.Second)
	g.Expect(later.Sub(start)).To(gomega.Equal(time.Second))
	g.Expect(start.Before(later)).To(gomega.BeTrue())
}
