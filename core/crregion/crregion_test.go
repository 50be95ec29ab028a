package crregion_test

import (
	"testing"

	"github.com/onsi/gomega"

	"camphorroad/core/crid"
	"camphorroad/core/crregion"
)

func TestAllowedDomains(t *testing.T) {
	m := crregion.Map{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	for name, tc := range map[string]struct {
		route, account []crid.Region
		allowed        []crid.Domain
	}{
		"no homes":                           {allowed: []crid.Domain{"a1", "a2", "b1", "c1", "unlisted"}},
		"homes of the route":                 {route: []crid.Region{"a", "b"}, allowed: []crid.Domain{"a1", "a2", "b1"}},
		"homes of the account":               {account: []crid.Region{"c"}, allowed: []crid.Domain{"c1"}},
		"both bind":                          {route: []crid.Region{"a", "b"}, account: []crid.Region{"b", "c"}, allowed: []crid.Domain{"b1"}},
		"no common region":                   {route: []crid.Region{"a"}, account: []crid.Region{"c"}},
		"region without a domain":            {route: []crid.Region{"d"}},
		"domain of an unknown region is out": {route: []crid.Region{""}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			allowed := m.Allowed(tc.route, tc.account)
			var got []crid.Domain
			for _, d := range []crid.Domain{"a1", "a2", "b1", "c1", "unlisted"} {
				if allowed == nil || allowed(d) {
					got = append(got, d)
				}
			}
			g.Expect(got).To(gomega.Equal(tc.allowed))
		})
	}
}
