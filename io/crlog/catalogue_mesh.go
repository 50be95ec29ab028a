package crlog

// Events 600 to 699, logged by a daemon started by camphorroad join (io/crmesh).
const (
	MeshStarted         = 600
	MeshReady           = 601
	MeshStopping        = 602
	MeshStopped         = 603
	MeshPaused          = 604
	SettingsRead        = 605
	SettingsRejected    = 606
	LogDropped          = 607
	MeshDrainIncomplete = 608
	WatchMissedChange   = 609
	StoreUnavailable    = 610
	StoreRecovered      = 611
	RecordInvalid       = 612
	PlanRejected        = 613
	PlanApplied         = 614
	TargetsChanged      = 615
	CopiedFromPeer      = 616
	PeerCopyFailed      = 617
	ReadersChanged      = 618
	ReaderUnresponsive  = 619
	PeersUnresponsive   = 620
	PeersRecovered      = 621
	DomainsEvacuated    = 622
	RouteKindUnknown    = 623
	TargetOpened        = 629
	TargetHealthChanged = 630
	RunEnded            = 631
	OfferRefused        = 632
	WarmupChecked       = 633
	TargetLimitChanged  = 634
	TargetLeaving       = 635
	TargetEnded         = 636
	EndRecorded         = 637
	EndsForgotten       = 638
	ColdTargetFlooded   = 639
	RequestFailed       = 640
	CallerDisconnected  = 641
	RequestRetried      = 642
	RequestServed       = 643
	OwnerUnresponsive   = 650
	HeadsRefused        = 660
	ConnectionsClosed   = 661
)

func meshEntries() []Entry {
	return []Entry{
		{
			MeshStarted, LevelInfo, "daemon started",
			"the process started", "the daemon is not ready until it has a configuration and a list of targets (601)", none,
		},
		{MeshReady, LevelInfo, "daemon ready", "the configuration and the list of targets are known", "requests are served", none},
		{
			MeshStopping, LevelInfo, "draining",
			"SIGTERM or SIGINT", "the readiness check fails and the target gets no new requests; requests in flight continue", none,
		},
		{MeshStopped, LevelInfo, "daemon stopped", "the drain ended", none, none},
		{
			MeshPaused, LevelWarn, "process was paused",
			"the process did not run for more than a second", "its requests were delayed", "if it repeats, check whether the machine is overcommitted",
		},
		{SettingsRead, LevelInfo, "settings read", "SIGHUP", "the file was checked; changes apply at the next start", none},
		{
			SettingsRejected, LevelError, "settings rejected",
			"SIGHUP, but the file is invalid", "the previous settings stay in use", "correct the file and send SIGHUP again",
		},
		{
			LogDropped, LevelWarn, "log lines dropped",
			"lines were logged faster than standard output was read", "lines are missing; requests were not delayed", "read standard output faster",
		},
		{
			MeshDrainIncomplete, LevelWarn, "drain timed out",
			"requests were still in flight at the end of the grace period", "those requests were aborted", none,
		},
		{
			WatchMissedChange, LevelWarn, "watch missed a change",
			"a list of the store has a change that the watches passed over", "the list is applied; until then the change was not in force", "look for a compaction or an outage of the store shortly before",
		},
		{
			StoreUnavailable, LevelWarn, "store unavailable",
			"the store does not answer, or rejects this daemon", "known records and configuration stay in use; newer ones come from peers", "repair the store or the network path to it",
		},
		{StoreRecovered, LevelInfo, "store recovered", "the store answers again", none, none},
		{
			RecordInvalid, LevelWarn, "record rejected",
			"a record in the store is incomplete or cannot be decoded", "its target gets no requests; other targets are not affected", "find the writer of the record by the field `key`",
		},
		{
			PlanRejected, LevelError, "configuration rejected",
			"the configuration in the store is invalid", "the previous configuration stays active as a whole", "read the field `error`, correct the configuration and publish again",
		},
		{PlanApplied, LevelInfo, "configuration applied", "a newer configuration was read", "the new routes, keys and limits apply", none},
		{TargetsChanged, LevelInfo, "targets changed", "targets were added or removed, or are shutting down", none, none},
		{
			CopiedFromPeer, LevelInfo, "copied from a peer",
			"a peer had newer records or a newer configuration while the store was unavailable", none, none,
		},
		{
			PeerCopyFailed, LevelWarn, "copy from a peer failed",
			"the peer did not answer", "another peer is queried", none,
		},
		{
			ReadersChanged, LevelInfo, "readers changed",
			"daemons of the domain were added or removed, or are rejected by the store", "the daemons in the event read the store for the domain", none,
		},
		{
			ReaderUnresponsive, LevelWarn, "reader unresponsive",
			"a reader of the domain did not answer a query", "another reader is queried, or the store itself",
			"if it persists, check the network between the machines",
		},
		{
			PeersUnresponsive, LevelWarn, "peers unresponsive",
			"no heartbeats arrived from these peers", "their targets are used as a last resort", "if it persists, check the network between the machines",
		},
		{PeersRecovered, LevelInfo, "peers recovered", "heartbeats arrive again", none, none},
		{
			DomainsEvacuated, LevelInfo, "evacuated domains changed",
			"the operator has started or ended the evacuation of a failure domain",
			"the targets of the domains in the event get no requests; requests that waited there are sent to other domains", none,
		},
		{
			RouteKindUnknown, LevelWarn, "route kind unknown",
			"the configuration has a route of a kind that this version does not know", "the route's requests run at most once and are not retried after they may have run", "upgrade the daemons, or correct the route's kind",
		},
		{
			TargetOpened, LevelInfo, "target opened",
			"the target may get requests from now on; `limit` is the number of requests that it may get in a second while it is cold (0: any number), `started` the Unix time of its start in milliseconds, and `cold` the time for which it stays cold by its record",
			none, none,
		},
		{
			TargetHealthChanged, LevelInfo, "target health changed",
			"the probability that the target is unhealthy, estimated from its responses and given in the field `sick`, rose above the threshold or fell below it",
			"above the threshold, the target gets only occasional idempotent requests", none,
		},
		{
			RunEnded, LevelInfo, "run ended",
			"a request on a target ended without success, or is part of the log sample; `connection` is the local address of its connection to the target, and `response` the request ID in the response",
			"see the event of the entry daemon (640, 643)", "if `response` differs from `request`, the target's responses are mixed up: look at the target",
		},
		{
			OfferRefused, LevelInfo, "offer refused",
			"an exit daemon refused a request; logged a limited number of times a second", "the request was not run; the entry daemon may try another target",
			"compare `wait` with `patience` and `load` with `slots`; add targets if they stay full",
		},
		{
			WarmupChecked, LevelInfo, "slow start checked",
			"the target may have become cold, and requests would have been limited; `doubt` is the reason: `start` of this daemon, lost `contact`, `silence` of the target, `connections` that may lead to another process of it, or `reset` after another record or an evacuation",
			"while the target is cold, for the time in the field `cold`, the requests that it gets in a second are limited", "if `response` is not empty, the response belongs to a request: look at the target",
		},
		{
			TargetLimitChanged, LevelInfo, "target limit changed",
			"the target began or ceased to name a limit in its responses, in requests a second; with `source` entry, an entry daemon knew of it before this one got a response",
			"all requests to the target together are held to the limit", "the target is in need: look at its own logs",
		},
		{
			TargetLeaving, LevelInfo, "target leaving",
			"the target said in a response that it is going to stop",
			"it gets no more requests; those that waited for it are sent to other targets", none,
		},
		{
			TargetEnded, LevelWarn, "target ended during a request",
			"the connection of a running request broke off, and the target refuses connections; `ends` counts the processes that have ended under requests with the same `content`, and `survived` tells that this process had answered it before, so that this end does not count",
			"after three ends, requests with this content are refused with 503 for a minute", "if `ends` grows, look at what this request does to the target",
		},
		{
			EndRecorded, LevelWarn, "end of a target recorded",
			"a request that this daemon had sent ended the process of its target; `ends` counts those that this daemon knows of under requests with the same `content`",
			"after three ends, requests with this content are refused with 503 for a minute", "if `ends` is lower than in the 636 of other daemons, this one has not heard of their ends, or has forgotten them (638)",
		},
		{
			EndsForgotten, LevelInfo, "ends of targets forgotten",
			"several targets have answered a request, a minute after the last of the ends under it or later",
			"the `ends` in the event no longer count against requests with this `content`", none,
		},
		{
			ColdTargetFlooded, LevelWarn, "cold target flooded",
			"by its health check the target had been cold for some time without this daemon knowing, and got more than `limit` requests in a second; `requests` is the highest number, and `doubt` why its state was in doubt at the check",
			"the target may have failed its requests", "report it, with the events 629 and 633 of this daemon before it",
		},
		{
			RequestFailed, LevelInfo, "request not served",
			"a request was refused or failed, or its caller disconnected",
			"the caller got the status and the reason in the event", none,
		},
		{CallerDisconnected, LevelInfo, "caller disconnected", "the connection of the caller closed before the response was written", none, none},
		{
			RequestRetried, LevelInfo, "request retried",
			"an idempotent request failed at a target",
			"it is sent to another target; the field `paid` lists what the retry and its calls cost, by service, and what of it came from the pool", none,
		},
		{
			RequestServed, LevelInfo, "request served",
			"a request succeeded and is part of the log sample", none, none,
		},
		{
			OwnerUnresponsive, LevelWarn, "account owner unresponsive",
			"the daemon that owns the account's token bucket did not answer, or, if the field `through` is true, the relay to it did not", "the query is relayed through another daemon; if that also fails, the account is limited to this daemon's fraction of its rate", none,
		},
		{
			HeadsRefused, LevelWarn, "heads of requests refused",
			"clients sent heads over the limit for one head, or large ones when others took all the memory for heads; the fields count them by listener since the last such event",
			"the clients got 431, or 503 in the second case, and their connections were closed; nothing ran", "look for clients that do not keep to the limits",
		},
		{
			ConnectionsClosed, LevelWarn, "connections closed for new ones",
			"clients had more connections open than their listener allows; the fields count the closed ones by listener since the last such event",
			"the connections that had waited longest for a request were closed, or new ones while requests were handled on all; no request was cut off", "look for clients that open connections and send nothing",
		},
	}
}
