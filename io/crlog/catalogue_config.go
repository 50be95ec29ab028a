package crlog

import "camphorroad/core/crconfig"

func configEntries() []Entry {
	return []Entry{
		{
			crconfig.EventApplied, LevelInfo, "configuration applied",
			"a configuration became active",
			"the new policy and keys apply", none,
		},
		{
			crconfig.EventStalePlatform, LevelError, "older revision ignored",
			"the platform returned an older revision than it or a peer had reported before",
			"none; the newer revision stays active", "restore the platform, or publish until its revision is higher than the active one",
		},
		{
			crconfig.EventRejected, LevelError, "configuration rejected",
			"a configuration failed validation and was rejected as a whole",
			"the change does not apply", "read the field `error`, correct the files, publish again",
		},
		{
			crconfig.EventPlatformUnavailable, LevelWarn, "platform unavailable",
			"the platform does not answer this reader",
			"none, or delayed changes: they arrive through other readers if there are any", "repair the platform or the network path to it",
		},
		{
			crconfig.EventPlatformRecovered, LevelInfo, "platform recovered",
			"the platform answers again",
			none, none,
		},
		{
			crconfig.EventCorruptPush, LevelWarn, "corrupt value from peer",
			"a peer sent bytes that do not match their digest",
			"none; the value is fetched from another peer", "if it repeats, replace the instance in the field `from`",
		},
		{
			crconfig.EventConflictingManifests, LevelError, "conflicting manifests",
			"two different manifests were reported for one revision",
			"parts of the fleet may use different configurations", "publish again; find out why the platform changed a published revision",
		},
		{
			crconfig.EventBehind, LevelError, "configuration behind a peer",
			"a peer has had a newer configuration for 9 s and it could not be fetched",
			"this daemon refuses requests as not run", "check for 503 and 505, and the network of this instance",
		},
		{
			crconfig.EventReaderStarted, LevelInfo, "watch started",
			"this daemon started to watch the platform for its domain",
			none, none,
		},
		{
			crconfig.EventReaderStopped, LevelInfo, "watch stopped",
			"this daemon stopped watching the platform",
			none, none,
		},
		{
			crconfig.EventTrustLost, LevelWarn, "configuration not trusted",
			"the membership lease was lost, or the peers have not yet confirmed the configuration after it was regained",
			"this daemon refuses requests as not run", "if 511 does not follow, check the network of this instance; other daemons are not affected",
		},
		{
			crconfig.EventTrustRegained, LevelInfo, "configuration trusted",
			"this daemon may use its configuration again",
			"requests are served", none,
		},
		{
			crconfig.EventReady, LevelInfo, "configuration up to date",
			"this daemon has the newest configuration and list that its sources reported",
			"this daemon starts to serve requests", none,
		},
		{
			crconfig.EventListUnusable, LevelWarn, "list of instances rejected",
			"the platform announces a newer list of instances but returns none that can be used: it is older, or an answer exceeds one megabyte",
			"the current list stays in use: new instances get no requests, and instances that left are still tried", "correct the list on the platform, or its pagination",
		},
	}
}
