package crlog

// Events of the daemon as a process, 100 to 199.
const (
	DaemonStarted   = 100
	DaemonReady     = 101
	DaemonDraining  = 102
	DaemonStopped   = 103
	DaemonPaused    = 104
	DrainIncomplete = 105
	CallersAccepted    = 106
	CallerListenFailed  = 107
	PeerMessageInvalid  = 120
	CertReloaded    = 130
	CertReloadFailed = 131
	TargetUnknown   = 140
	RoutesRejected     = 141
	TraceStopped    = 150
)

func processEntries() []Entry {
	return []Entry{
		{
			DaemonStarted, LevelInfo, "daemon started",
			"the process began",
			"it is not ready until it has a configuration and a list of instances (101)", none,
		},
		{
			DaemonReady, LevelInfo, "daemon ready",
			"the first configuration came into force",
			"callers can connect once it also has standing and tokens (106)", none,
		},
		{
			DaemonDraining, LevelInfo, "draining",
			"SIGTERM or SIGINT",
			"new requests are refused, those in flight finish, then the process exits with 0", none,
		},
		{
			DaemonStopped, LevelInfo, "stopped",
			"the drain ended",
			none, none,
		},
		{
			DaemonPaused, LevelWarn, "process was paused",
			"the process did not run for longer than a second: stopped, starved or suspended",
			"forwards that waited through the pause are refused as not run", "look for an overcommitted machine if it repeats",
		},
		{
			DrainIncomplete, LevelWarn, "drain gave up",
			"requests were still in flight when limits.draintime had passed",
			"those requests were cut", "raise limits.draintime if their answers take longer by design",
		},
		{
			CallersAccepted, LevelInfo, "callers can connect",
			"the daemon can serve, or could not for 15 seconds after its start; its field service says which",
			"connections are taken from now on", "look at the ready page if service is not yes",
		},
		{
			CallerListenFailed, LevelError, "callers can not connect",
			"the system did not let the daemon listen at listen.http",
			"nobody can call this daemon; it still runs what others forward to its targets", "restart it",
		},
		{
			PeerMessageInvalid, LevelWarn, "peer message refused",
			"a daemon sent what this version can not read",
			"nothing, for minutes during a roll-out of a new version", "find the daemon with another version if it lasts",
		},
		{
			CertReloaded, LevelInfo, "certificates reloaded",
			"SIGHUP",
			"new sessions use the new certificate", none,
		},
		{
			CertReloadFailed, LevelError, "certificates not reloaded",
			"SIGHUP, but the files could not be read or do not fit",
			"the former certificate stays in use", "mend the files and send SIGHUP again",
		},
		{
			TargetUnknown, LevelError, "target not in the policy",
			"the settings name a target of a service that the configuration in force does not have",
			"the target gets no work", "publish the service's policy or mend the settings",
		},
		{
			RoutesRejected, LevelError, "routes refused",
			"a configuration came whose routes can not be served together",
			"the former routes stay in force", "run `camphorroad policy check` on the files and publish again",
		},
		{
			TraceStopped, LevelWarn, "trace stopped",
			"the trace reached trace.size, or its file could not be written",
			"the daemon goes on; later events are not recorded", "collect the file, and remove trace.file from the settings when done",
		},
	}
}
