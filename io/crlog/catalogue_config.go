package crlog

import "camphorroad/core/crconfig"

func configEntries() []Entry {
	return []Entry{
		{
			crconfig.EventApplied, LevelInfo, "configuration in force",
			"a configuration came into force",
			"new policy and keys act", none,
		},
		{
			crconfig.EventStalePlatform, LevelError, "older revision not taken",
			"the platform shows an older revision than it or a peer had shown",
			"nothing; the newer stays in force", "restore the platform, or publish again until its revision is above",
		},
		{
			crconfig.EventRejected, LevelError, "configuration refused",
			"a configuration failed validation and was refused whole",
			"the change does not act", "read the field `error`, mend the files, publish again",
		},
		{
			crconfig.EventPlatformUnavailable, LevelWarn, "platform away",
			"the platform does not answer this reader",
			"nothing; changes come from other readers, or late", "mend the platform or the network to it",
		},
		{
			crconfig.EventPlatformRecovered, LevelInfo, "platform back",
			"the platform answers again",
			none, none,
		},
		{
			crconfig.EventCorruptPush, LevelWarn, "altered value",
			"a peer sent bytes that do not match their digest",
			"nothing; another peer is asked", "if it repeats, replace the instance in the field `from`",
		},
		{
			crconfig.EventConflictingManifests, LevelError, "two manifests",
			"two manifests were shown under one revision",
			"parts of the fleet may differ", "publish again; find why the platform changed a published revision",
		},
		{
			crconfig.EventBehind, LevelError, "behind a peer",
			"a peer has had a newer configuration for 9 s that could not be got",
			"this daemon refuses requests as not run", "look at 503, 505 and the network of this instance",
		},
		{
			crconfig.EventReaderStarted, LevelInfo, "watch started",
			"this daemon began to watch the platform for its domain",
			none, none,
		},
		{
			crconfig.EventReaderStopped, LevelInfo, "watch stopped",
			"this daemon ceased to watch the platform",
			none, none,
		},
		{
			crconfig.EventTrustLost, LevelWarn, "configuration not trusted",
			"no standing, or peers were not yet asked anew",
			"this daemon refuses requests as not run", "look at the network of this instance if 511 does not follow; the others go on",
		},
		{
			crconfig.EventTrustRegained, LevelInfo, "configuration trusted",
			"this daemon may act on its configuration again",
			"requests are served", none,
		},
		{
			crconfig.EventReady, LevelInfo, "configuration complete",
			"it has the newest configuration and list that its sources told",
			"it begins to serve", none,
		},
		{
			crconfig.EventListUnusable, LevelWarn, "list of instances not taken",
			"the platform names a newer list of instances and gives none that can be used: an older one, or more than a megabyte in an answer",
			"work goes on by the list held; new instances get none, and those that left are tried", "mend the platform's list, or its pages",
		},
	}
}
