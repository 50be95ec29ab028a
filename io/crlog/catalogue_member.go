package crlog

import "camphorroad/core/crmember"

func memberEntries() []Entry {
	return []Entry{
		{
			crmember.EventLeaseAcquired, LevelInfo, "standing gained",
			"a majority of the list's voters answers",
			"requests are served", none,
		},
		{
			crmember.EventLeaseLost, LevelWarn, "standing lost",
			"cut off, suspended, or the list changes",
			"this daemon refuses requests as not run", "nothing if 200 follows in seconds; else mend the network",
		},
		{
			crmember.EventListAdopted, LevelInfo, "list adopted",
			"a newer list from the platform or a peer",
			"refusals for up to some seconds", none,
		},
		{
			crmember.EventListIgnored, LevelWarn, "older list ignored",
			"the platform went back, or this reader lags behind what peers told",
			none, "look at the platform if it repeats",
		},
		{
			crmember.EventListsFull, LevelError, "too many lists",
			"32 lists without one becoming active; peers hold many different ones",
			"refusals", "mend the network: a majority is away",
		},
		{
			crmember.EventRecovered, LevelInfo, "recovered",
			"a restarted daemon has caught up from its peers",
			none, none,
		},
		{
			crmember.EventColdStart, LevelWarn, "cold start",
			"a majority of the voters started anew",
			"refusals before it", "nothing; if it was no planned start, find what stopped them",
		},
		{
			crmember.EventPeerReachable, LevelInfo, "peer reachable",
			"heard both ways",
			none, none,
		},
		{
			crmember.EventPeerUnreachable, LevelWarn, "peer lost",
			"not heard both ways for a horizon; in fleets of more than 31 daemons told of voters only",
			"work goes elsewhere", "look at the peer or the link",
		},
		{
			crmember.EventPeerLeaving, LevelInfo, "peer leaving",
			"the peer was asked to stop",
			none, none,
		},
		{
			crmember.EventPeerRestarted, LevelInfo, "peer restarted",
			"a new incarnation answers",
			none, none,
		},
		{
			crmember.EventNotListed, LevelWarn, "not listed",
			"the newest list does not name this daemon",
			"refusals at this daemon", "publish its instance, or stop it",
		},
	}
}
