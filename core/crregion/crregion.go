// Package crregion decides in which regions a request may be processed (data residency).
// A route and a client account may each list their home regions. Where both do, a domain
// has to be in a home region of both.
//
// # Usage
//
//	m := crregion.Map{"tokyo-a": "tokyo"}
//	if allowed := m.Allowed(route.Homes, account.Homes); allowed == nil || allowed(domain) { ... }
package crregion

import (
	"slices"

	"camphorroad/core/crid"
)

// Map holds the region of each failure domain.
type Map map[crid.Domain]crid.Region

// Allowed returns the function that reports whether a domain lies in one of the regions of
// each list, or nil if all lists are empty and every domain is allowed. A domain whose
// region is not known is not allowed.
func (m Map) Allowed(lists ...[]crid.Region) func(crid.Domain) bool {
	if !slices.ContainsFunc(lists, func(homes []crid.Region) bool { return len(homes) > 0 }) {
		return nil
	}
	return func(d crid.Domain) bool {
		region, known := m[d]
		return known && !slices.ContainsFunc(lists, func(homes []crid.Region) bool {
			return len(homes) > 0 && !slices.Contains(homes, region)
		})
	}
}
