package crlog

// Events of a daemon that has joined a fleet by the store's records, 600 to 699.
const (
	MeshStarted     = 600
	MeshReady       = 601
	MeshStopping    = 602
	MeshStopped     = 603
	MeshPaused      = 604
	SettingsRead    = 605
	SettingsRejected     = 606
	LogDropped      = 607
	MeshDrainIncomplete         = 608
	StoreLost       = 610
	StoreRecovered       = 611
	RecordInvalid       = 612
	PlanRejected         = 613
	PlanInForce     = 614
	TargetsChanged  = 615
	CopiedFromPeer      = 616
	PeerCopyFailed  = 617
	ReadersChanged  = 618
	ReaderSilent    = 619
	PeerSilent      = 620
	PeerRecovered       = 621
	TargetSuspicionChanged    = 630
	RunEnded        = 631
	OfferRefused    = 632
	RequestFailed   = 640
	CallerDisconnected      = 641
	RequestRetried = 642
	RequestServed   = 643
	OwnerSilent     = 650
)

func meshEntries() []Entry {
	return []Entry{
		{
			MeshStarted, LevelInfo, "daemon joined",
			"the process began", "it is not ready until it has a configuration and a list of targets (601)", none,
		},
		{MeshReady, LevelInfo, "ready for callers", "configuration and list are known", "callers are served", none},
		{
			MeshStopping, LevelInfo, "stopping",
			"SIGTERM or SIGINT", "the ready page says no, and nothing new runs on the target; what runs goes on", none,
		},
		{MeshStopped, LevelInfo, "left", "the stop ended", none, none},
		{
			MeshPaused, LevelWarn, "daemon was paused",
			"the process did not run for longer than a second", "its requests waited", "look for an overcommitted machine if it repeats",
		},
		{SettingsRead, LevelInfo, "settings read", "SIGHUP", "the file was checked; what changed acts at the next start", none},
		{
			SettingsRejected, LevelError, "settings refused",
			"SIGHUP, but the file is wrong", "the former settings stay", "mend the file and send SIGHUP again",
		},
		{
			LogDropped, LevelWarn, "log lines dropped",
			"more was logged than standard output took", "lines are missing; requests were not held up", "read standard output faster",
		},
		{
			MeshDrainIncomplete, LevelWarn, "stop cut requests",
			"requests were still in progress when the grace ended", "those requests were cut", none,
		},
		{
			StoreLost, LevelWarn, "store lost",
			"the store does not answer, or turns this daemon away", "what is known stays in force; newer versions come from peers", "mend the store or the network to it",
		},
		{StoreRecovered, LevelInfo, "store regained", "the store answers again", none, none},
		{
			RecordInvalid, LevelWarn, "record not usable",
			"a record in the store lacks something or is not readable", "its target gets no work; all others do", "find its writer by the key",
		},
		{
			PlanRejected, LevelError, "configuration not taken",
			"the store's configuration is wrong", "the former one stays in force whole", "read the field `error` and publish again",
		},
		{PlanInForce, LevelInfo, "plan in force", "a newer configuration was read", "new routes, keys and limits act", none},
		{TargetsChanged, LevelInfo, "targets changed", "targets came, went or are leaving", none, none},
		{
			CopiedFromPeer, LevelInfo, "copied from a peer",
			"a peer held something newer while the store did not give it", none, none,
		},
		{
			PeerCopyFailed, LevelWarn, "copy from a peer failed",
			"the peer did not answer", "another one is asked", none,
		},
		{
			ReadersChanged, LevelInfo, "readers changed",
			"daemons of the domain came, went, or are turned away by the store", "the daemons named read the store for the domain", none,
		},
		{
			ReaderSilent, LevelWarn, "reader silent",
			"a reader of the domain did not answer a question about the store", "another one is asked, or the store itself",
			"look at the network between the machines if it lasts",
		},
		{
			PeerSilent, LevelWarn, "peers silent",
			"beats of these peers did not come", "their targets are used last", "look at the network between the machines if it lasts",
		},
		{PeerRecovered, LevelInfo, "peers heard again", "beats came again", none, none},
		{
			TargetSuspicionChanged, LevelInfo, "target judged",
			"answers moved the probability that the target is sick over the limit, or below it",
			"above it, only idempotent requests try the target now and then", none,
		},
		{
			RunEnded, LevelInfo, "run ended",
			"a request left its target without a success, or is one of the sample", "none beyond what its entry says (640, 643)", none,
		},
		{
			OfferRefused, LevelInfo, "offer refused",
			"an exit did not take a request; a bounded number a second", "it did not run, and its entry may go elsewhere",
			"compare wait with patience and load with slots: add targets if they are full for long",
		},
		{
			RequestFailed, LevelInfo, "request not served",
			"a request was refused, failed, or its caller left",
			"its caller has the status and the reason named", none,
		},
		{CallerDisconnected, LevelInfo, "caller gone", "the caller's connection ended before its answer was written", none, none},
		{
			RequestRetried, LevelInfo, "request sent again",
			"an idempotent request failed at a target", "it is sent to another one", none,
		},
		{
			RequestServed, LevelInfo, "request served",
			"a request was answered well, and is one of the sample", none, none,
		},
		{
			OwnerSilent, LevelWarn, "account's owner silent",
			"the daemon that keeps an account's tokens did not answer, or, `through`, one that was to ask it", "another daemon is asked to ask it; if that fails, too, the account is held to this daemon's part of its rate", none,
		},
	}
}
