package croffer

import (
	"encoding/base64"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crbudget"
)

// maxCallsPerRun is the most calls a run makes to one service, by a peer's report.
const maxCallsPerRun = 100

// encodeCalls returns a report for a header, or an empty string if the target makes no calls.
func encodeCalls(r crbudget.CallReport) string {
	if len(r.Calls) == 0 && len(r.Failed) == 0 {
		return ""
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

// decodeCalls reads a report from a header. One that cannot be read counts as missing: the calls
// of a retry are then charged where they enter.
func decodeCalls(s string) crbudget.CallReport {
	var r crbudget.CallReport
	data, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil || cbor.Unmarshal(data, &r) != nil || !isValid(r) {
		return crbudget.CallReport{}
	}
	return r
}

func isValid(r crbudget.CallReport) bool {
	// The negated comparison also rejects NaN.
	invalid := func(c crbudget.Call) bool { return !(c.PerRun >= 0 && c.PerRun <= maxCallsPerRun) }
	return r.Runs >= 0 && !math.IsInf(r.Runs, 0) && !slices.ContainsFunc(r.Calls, invalid)
}
