package crlog

// Events 100 to 199, about the process of a daemon started by camphorroad serve
// (io/crdaemon).
const (
	DaemonStarted      = 100
	DaemonReady        = 101
	DaemonDraining     = 102
	DaemonStopped      = 103
	DaemonPaused       = 104
	DrainIncomplete    = 105
	CallersAccepted    = 106
	CallerListenFailed = 107
	PeerMessageInvalid = 120
	CertReloaded       = 130
	CertReloadFailed   = 131
	TargetUnknown      = 140
	RoutesRejected     = 141
	TraceStopped       = 150
)

func processEntries() []Entry {
	return []Entry{
		{
			DaemonStarted, LevelInfo, "daemon started",
			"the process started",
			"the daemon is not ready until it has a configuration and a list of instances (101)", none,
		},
		{
			DaemonReady, LevelInfo, "daemon ready",
			"the first configuration became active",
			"callers can connect once the daemon also has a membership lease and tokens (106)", none,
		},
		{
			DaemonDraining, LevelInfo, "draining",
			"SIGTERM or SIGINT",
			"new requests are refused, requests in flight finish, then the process exits with 0", none,
		},
		{
			DaemonStopped, LevelInfo, "daemon stopped",
			"the drain ended",
			none, none,
		},
		{
			DaemonPaused, LevelWarn, "process was paused",
			"the process did not run for more than a second: it was stopped, starved or suspended",
			"requests that were queued during the pause are refused as not run", "if it repeats, check whether the machine is overcommitted",
		},
		{
			DrainIncomplete, LevelWarn, "drain timed out",
			"requests were still in flight when limits.draintime had passed",
			"those requests were aborted", "raise limits.draintime if their responses are expected to take longer",
		},
		{
			CallersAccepted, LevelInfo, "accepting callers",
			"the daemon can serve requests, or could not for 15 seconds after its start; the field `service` is `yes` or the reason",
			"connections of callers are accepted from now on", "check the ready page if `service` is not `yes`",
		},
		{
			CallerListenFailed, LevelError, "callers cannot connect",
			"the daemon could not listen at listen.http",
			"callers cannot connect to this daemon; requests forwarded by other daemons still run on its targets", "restart it",
		},
		{
			PeerMessageInvalid, LevelWarn, "peer message rejected",
			"a daemon sent a message that this version cannot decode",
			"none if it lasts minutes during the rollout of a new version", "if it persists, find the daemon that runs another version",
		},
		{
			CertReloaded, LevelInfo, "certificates reloaded",
			"SIGHUP",
			"new sessions use the new certificates", none,
		},
		{
			CertReloadFailed, LevelError, "certificates not reloaded",
			"SIGHUP, but the files could not be read or do not match",
			"the previous certificates stay in use", "correct the files and send SIGHUP again",
		},
		{
			TargetUnknown, LevelError, "target not in the policy",
			"the settings contain a target of a service that is not in the active configuration",
			"the target gets no requests", "publish the policy of the service or correct the settings",
		},
		{
			RoutesRejected, LevelError, "routes rejected",
			"a new configuration has conflicting routes",
			"the previous routes stay active", "run `camphorroad policy check` on the files and publish again",
		},
		{
			TraceStopped, LevelWarn, "trace stopped",
			"the trace reached trace.size, or its file could not be written",
			"the daemon continues; later events are not recorded", "collect the file, then remove trace.file from the settings",
		},
	}
}
