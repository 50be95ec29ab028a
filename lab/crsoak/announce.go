package crsoak

import (
	"net/http"
	"time"

	"camphorroad/lab/crstage"
)

// What a target that names a limit may get, by the operators' documentation: from limitDelay
// after it first named one, limitRatio times as many requests in limitWindow, and limitSlack.
const (
	limitDelay  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// checkLimits checks the requests that targets got while they named a limit.
func (o *observations) checkLimits(v *violations) {
	for _, l := range o.limits {
		var times []time.Time
		for _, r := range o.allRuns {
			if r.Target == l.targetID && r.At.Sub(l.from) > limitDelay && r.At.Before(l.to) {
				times = append(times, r.At)
			}
		}
		highest := limitRatio*l.rate*limitWindow.Seconds() + limitSlack
		if n, end := maxInWindow(times, limitWindow); float64(n) > highest {
			v.add("limit: %s named %.1f requests a second and got %d in the %v before %s, limit is %.0f",
				l.targetID, l.rate, n, limitWindow, end.Format("15:04:05.000"), highest)
		}
	}
}

// Kinds of faults in which a daemon forgets what targets have told it, or stands still.
var forgettingFaults = []string{"kill", "herd", "pause", "term", "roll"}

// checkLeaving checks that a daemon which has passed on a response of a leaving target sends
// it nothing any more, whatever else fails.
func (o *observations) checkLeaving(v *violations) {
	for _, d := range o.drainStarts {
		told := o.toldOf(d)
		for _, c := range o.calls {
			at, ok := told[c.machine]
			if !ok || c.sent.Sub(at) <= crstage.DrainTime {
				continue
			}
			for _, r := range o.runsByRequest[c.id] {
				if r.Target == d.targetID && !o.affected(forgettingFaults, c.machine, at, r.At) {
					v.add("leaving: %s from machine %d ran at %s %v after that machine had passed on that it leaves", c.id, c.machine, d.targetID, r.At.Sub(at).Round(time.Millisecond))
				}
			}
		}
	}
}

// toldOf returns when each machine first passed on a response of a leaving target.
func (o *observations) toldOf(d drainStart) map[int]time.Time {
	told := make(map[int]time.Time)
	for _, c := range o.calls {
		runs := o.runsByRequest[c.id]
		if len(runs) == 0 || c.status != http.StatusOK {
			continue
		}
		if last := runs[len(runs)-1]; last.Target != d.targetID || last.At.Before(d.at) {
			continue
		}
		answered := c.sent.Add(c.latency)
		if at, ok := told[c.machine]; !ok || answered.Before(at) {
			told[c.machine] = answered
		}
	}
	return told
}
