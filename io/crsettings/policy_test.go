package crsettings

import (
	"strings"
	"testing"
)

// If a misspelt baseline fell back to the default, a comparison would silently
// compare the default policy with itself.
func TestUnknownPolicyIsRejectedWithLine(t *testing.T) {
	for text, want := range map[string]string{
		"[policy]\nchoose = \"robin\"\n":  ":2: policy.choose",
		"[policy]\neject = \"never\"\n":   ":2: policy.eject",
		"[policy]\n\nrate = \"local\"\n":  ":3: policy.rate",
		"[policy]\nrate = \"split\"\n":    "policy.daemons must be above zero",
		"[policy]\nbalance = \"least\"\n": ":2: policy.balance",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%q) = %v, want an error containing %s", text, err, want)
		}
	}
}
