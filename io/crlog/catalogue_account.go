package crlog

import "camphorroad/core/craccount"

func accountEntries() []Entry {
	return []Entry{
		{
			craccount.EventRefillStarted, LevelInfo, "token refill started",
			"this daemon holds the membership lease under the list in the event",
			none, none,
		},
		{
			craccount.EventRefillStopped, LevelWarn, "token refill stopped",
			"the membership lease expired: the daemon is partitioned or paused, or the list of instances is being replaced",
			"accounts with a share owned by this daemon get less than their rate", "none if 300 follows; otherwise check the membership events of this daemon",
		},
		{
			craccount.EventLateGrant, LevelInfo, "late grant discarded",
			"a grant took longer than two seconds to arrive, or was addressed to an earlier incarnation of this daemon; logged at most once in 10 s",
			"none: the tokens are refilled", "if it repeats, check for paused processes or a slow network",
		},
		{
			craccount.EventNotOwner, LevelWarn, "tokens requested from a share not owned",
			"daemons have different lists or configurations, or the account is unknown to this daemon; logged at most once in 10 s",
			"the first requests of the account at a daemon may be refused", "none for some seconds; if it persists, compare the lists and revisions in the state dumps",
		},
		{
			craccount.EventTooManyAccounts, LevelWarn, "too many accounts in use",
			"more than MaxActive accounts send requests through this daemon; logged at most once in 10 s",
			"the first request of an evicted account waits one round trip", "spread callers over more daemons",
		},
		{
			craccount.EventExhausted, LevelWarn, "account out of tokens",
			"the account sends more than its rate and burst, or the owners of its shares are unreachable; logged at most once in 10 s for each account",
			"its callers get 429", "compare its traffic with its limit; if it is below the limit, look for 301 at the owners of its shares",
		},
		{
			craccount.EventStopped, LevelInfo, "returning tokens",
			"this daemon is shutting down",
			none, none,
		},
	}
}
