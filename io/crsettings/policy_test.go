package crsettings

import (
	"strings"
	"testing"
)

// A misspelt baseline that fell back to the policy in service would make a
// comparison of the policy with itself, and whoever reads it would not notice.
func TestUnknownPolicyIsRefusedWithItsLine(t *testing.T) {
	for text, want := range map[string]string{
		"[policy]\nchoose = \"robin\"\n":  ":2: policy.choose",
		"[policy]\neject = \"never\"\n":   ":2: policy.eject",
		"[policy]\n\nrate = \"local\"\n":  ":3: policy.rate",
		"[policy]\nrate = \"split\"\n":    "policy.daemons must be above zero",
		"[policy]\nbalance = \"least\"\n": ":2: policy.balance",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q gives %v, not %s", text, err, want)
		}
	}
}
