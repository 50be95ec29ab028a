package crlog

import "camphorroad/core/craccount"

func accountEntries() []Entry {
	return []Entry{
		{
			craccount.EventRefillStarted, LevelInfo, "minting",
			"this daemon has tenure under the named list",
			none, none,
		},
		{
			craccount.EventRefillStopped, LevelWarn, "minting stopped",
			"tenure has run out: cut off, paused, or between two lists",
			"accounts with a share here have less than their rate", "nothing if 300 follows; else look at the membership events of this daemon",
		},
		{
			craccount.EventLateGrant, LevelInfo, "late grant not used",
			"a message took longer than two seconds, or was meant for a former process; told once in 10 s",
			"nothing: the tokens are minted anew", "if it keeps coming, look for paused processes or a slow network",
		},
		{
			craccount.EventNotOwner, LevelWarn, "asked for a share not owned",
			"daemons have different lists or configurations, or the account is unknown here; told once in 10 s",
			"cold requests of the account may be refused", "nothing for some seconds; if it lasts, compare the lists and revisions in the dumps",
		},
		{
			craccount.EventTooManyAccounts, LevelWarn, "too many accounts in use",
			"more accounts than MaxActive send through this daemon; told once in 10 s",
			"the first request of a forgotten account waits one round trip", "spread callers over more daemons",
		},
		{
			craccount.EventExhausted, LevelWarn, "account exhausted",
			"the named account sends more than its rate and burst, or its owners can not be reached; told once in 10 s and account",
			"its callers get 429", "compare with its limit; if it is inside it, look for 301 at its owners",
		},
		{
			craccount.EventStopped, LevelInfo, "handing tokens back",
			"this daemon is stopping",
			none, none,
		},
	}
}
