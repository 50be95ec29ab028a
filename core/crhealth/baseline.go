package crhealth

import "time"

// Thresholds of FixedLocal.
const (
	fixedRate        = 0.2
	fixedMedian      = 60 * time.Millisecond
	fixedMinAttempts = 5
)

// FixedLocal returns params with which each daemon ejects by fixed thresholds on its
// own evidence. It is a baseline for comparison.
func FixedLocal(params Params) Params {
	params.Judge = FixedJudge{Rate: fixedRate, Median: fixedMedian, MinAttempts: fixedMinAttempts}
	params.LocalOnly = true
	params.DetectStalls = false
	params.disabledGuards |= guardCorroboration
	return params
}

// NoEjection returns params with which no target is ejected. It is a baseline for
// comparison.
func NoEjection(params Params) Params {
	params.Judge = NoJudge{}
	params.DetectStalls = false
	return params
}
