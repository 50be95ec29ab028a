package crlog

import "camphorroad/core/crmember"

func memberEntries() []Entry {
	return []Entry{
		{
			crmember.EventLeaseAcquired, LevelInfo, "membership lease acquired",
			"a majority of the voters of the list answers",
			"requests are served", none,
		},
		{
			crmember.EventLeaseLost, LevelWarn, "membership lease lost",
			"the daemon is partitioned or was suspended, or the list is being replaced",
			"this daemon refuses requests as not run", "none if 200 follows within seconds; otherwise repair the network",
		},
		{
			crmember.EventListAdopted, LevelInfo, "list adopted",
			"a newer list arrived from the platform or a peer",
			"requests may be refused for a few seconds", none,
		},
		{
			crmember.EventListIgnored, LevelWarn, "older list ignored",
			"the platform returned an older list, or this reader is behind its peers",
			none, "check the platform if it repeats",
		},
		{
			crmember.EventListsFull, LevelError, "too many lists",
			"32 lists are pending and none became active; peers hold many different lists",
			"requests are refused", "repair the network: a majority of the voters is unreachable",
		},
		{
			crmember.EventRecovered, LevelInfo, "membership recovered",
			"this daemon has caught up with its peers after a restart",
			none, none,
		},
		{
			crmember.EventColdStart, LevelWarn, "cold start",
			"a majority of the voters restarted",
			"requests were refused until this event", "none after a planned start; otherwise find out why the voters stopped",
		},
		{
			crmember.EventPeerReachable, LevelInfo, "peer reachable",
			"messages pass in both directions",
			none, none,
		},
		{
			crmember.EventPeerUnreachable, LevelWarn, "peer unreachable",
			"messages did not pass in both directions for the contact timeout; in fleets of more than 31 daemons, logged for voters only",
			"its targets get no requests from this daemon", "check the peer and the network path to it",
		},
		{
			crmember.EventPeerLeaving, LevelInfo, "peer leaving",
			"the peer is shutting down",
			none, none,
		},
		{
			crmember.EventPeerRestarted, LevelInfo, "peer restarted",
			"the peer answers with a new incarnation",
			none, none,
		},
		{
			crmember.EventNotListed, LevelWarn, "not listed",
			"the newest list does not name this daemon",
			"this daemon refuses requests", "publish its instance, or stop it",
		},
	}
}
