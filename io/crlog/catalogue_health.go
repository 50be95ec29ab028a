package crlog

import "camphorroad/core/crhealth"

func healthEntries() []Entry {
	return []Entry{
		{
			crhealth.EventEjected, LevelWarn, "target ejected",
			"the arbiter found a target wrong, failing, slow or stalled beside its peers; `detail` gives cause and hold-off",
			"no new work goes to the target", "nothing at once; look at the target",
		},
		{
			crhealth.EventUnejected, LevelInfo, "target returned",
			"the hold-off is over, or the floor needs the target",
			"work comes back, a tenth at first", none,
		},
		{
			crhealth.EventKeptForFloor, LevelError, "floor holds",
			"a target is sick, but ejecting it would break the floor",
			"callers still meet the sick target", "repair it, add targets, or publish a lower floor",
		},
		{
			crhealth.EventArbiterStarted, LevelInfo, "arbiter started",
			"this daemon has begun to decide for a service",
			"verdicts come from it", none,
		},
		{
			crhealth.EventArbiterStopped, LevelInfo, "arbiter stopped",
			"this daemon lost standing, or the list names another",
			"a pause of about two seconds in ejections", "nothing; if it repeats, look at standing",
		},
		{
			crhealth.EventVerdictExpired, LevelWarn, "verdict expired",
			"the arbiter was silent for 1.5 s",
			"ejected targets get work from this entry again", "look for a daemon that is down but still listed",
		},
		{
			crhealth.EventEjectionExtended, LevelWarn, "hold extended",
			"probes of an ejected target still fail",
			"it stays out", "repair the target",
		},
		{
			crhealth.EventDigestsLate, LevelWarn, "digests late",
			"evidence exceeds the budget of bytes",
			"sick targets are found later", "see the limits in design note 05",
		},
	}
}
