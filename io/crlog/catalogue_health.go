package crlog

import "camphorroad/core/crhealth"

func healthEntries() []Entry {
	return []Entry{
		{
			crhealth.EventEjected, LevelWarn, "target ejected",
			"the arbiter found that a target gives wrong responses, or fails, is slow or stalls compared with its peers; `detail` gives the cause and the ejection time",
			"the target gets no new requests", "none immediately; check the target",
		},
		{
			crhealth.EventUnejected, LevelInfo, "ejection ended",
			"the ejection time is over, or the target is needed to meet the floor",
			"the target gets requests again, at a tenth of its weight at first", none,
		},
		{
			crhealth.EventKeptForFloor, LevelError, "floor holds",
			"a target is unhealthy, but ejecting it would leave fewer targets than the floor",
			"requests still go to the unhealthy target", "repair it, add targets, or publish a lower floor",
		},
		{
			crhealth.EventArbiterStarted, LevelInfo, "arbiter started",
			"this daemon became the arbiter of a service",
			"this daemon sends the verdicts for the service", none,
		},
		{
			crhealth.EventArbiterStopped, LevelInfo, "arbiter stopped",
			"this daemon lost the membership lease, or the list of instances selects another arbiter",
			"no ejections for about two seconds", "none; if it repeats, check for 201",
		},
		{
			crhealth.EventVerdictExpired, LevelWarn, "verdict expired",
			"no verdict arrived from the arbiter for 1.5 s",
			"ejected targets get requests from this daemon again", "look for a daemon that is down but still listed",
		},
		{
			crhealth.EventEjectionExtended, LevelWarn, "ejection extended",
			"probes of an ejected target still fail at the end of its ejection time",
			"the target stays ejected", "repair the target",
		},
		{
			crhealth.EventDigestsLate, LevelWarn, "health digests late",
			"the health digests exceed the byte budget",
			"unhealthy targets are detected later", "see the limits in design note 05",
		},
	}
}
