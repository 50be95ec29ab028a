package crhealth

import "time"

// The thresholds of FixedAlone.
const (
	fixedRate        = 0.2
	fixedMedian      = 60 * time.Millisecond
	fixedMinAttempts = 5
)

// FixedLocal returns params under which each daemon ejects on its own evidence
// by fixed thresholds, for comparison.
func FixedLocal(params Params) Params {
	params.Judge = FixedJudge{Rate: fixedRate, Median: fixedMedian, MinAttempts: fixedMinAttempts}
	params.LocalOnly = true
	params.Stalls = false
	params.disabledGuards |= guardCorroboration
	return params
}

// NoEjection returns params under which no target is ejected, for comparison.
func NoEjection(params Params) Params {
	params.Judge = NoJudge{}
	params.Stalls = false
	return params
}
