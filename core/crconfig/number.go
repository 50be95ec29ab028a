package crconfig

// Numbers of the reported events; docs/events.md describes each.
const (
	EventApplied              = 500
	EventStalePlatform        = 501
	EventRejected             = 502
	EventPlatformUnavailable  = 503
	EventPlatformRecovered    = 504
	EventCorruptPush          = 505
	EventConflictingManifests = 506
	EventBehind               = 507
	EventReaderStarted        = 508
	EventReaderStopped        = 509
	EventTrustLost            = 510
	EventTrustRegained        = 511
	EventReady                = 512
	EventListUnusable         = 513
)
