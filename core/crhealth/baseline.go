package crhealth

import "time"

// The thresholds of FixedAlone.
const (
	fixedRate   = 0.2
	fixedMedian = 60 * time.Millisecond
	fixedLeast  = 5
)

// FixedAlone returns params under which each daemon ejects on its own evidence
// by fixed thresholds, for comparison.
func FixedAlone(params Params) Params {
	params.Judge = FixedJudge{Rate: fixedRate, Median: fixedMedian, Least: fixedLeast}
	params.Alone = true
	params.Stalls = false
	params.without |= guardAccounts
	return params
}

// NoEjection returns params under which no target is ejected, for comparison.
func NoEjection(params Params) Params {
	params.Judge = NoJudge{}
	params.Stalls = false
	return params
}
