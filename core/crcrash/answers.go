package crcrash

import "camphorroad/core/crid"

// answers remembers the requests that were answered last. It keeps two generations of
// maxAnswers/2 requests, and drops the older one when the younger is full.
type answers struct {
	at, before map[Key]crid.Instant
}

func (a *answers) record(now crid.Instant, k Key) {
	if len(a.at) >= maxAnswers/2 {
		a.before, a.at = a.at, make(map[Key]crid.Instant, maxAnswers/2)
	}
	a.at[k] = now
}

// has reports whether a request was answered lately.
func (a *answers) has(now crid.Instant, k Key) bool {
	at, ok := a.at[k]
	if !ok {
		at, ok = a.before[k]
	}
	return ok && now.Sub(at) < answerTime
}
