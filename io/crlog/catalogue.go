package crlog

// Level is the weight of an event.
type Level uint8

// The levels of events.
const (
	LevelDebug Level = iota + 1
	LevelInfo
	LevelWarn
	LevelError
)

// String returns the level's name.
func (l Level) String() string { return l.logrus().String() }

// Entry describes one numbered event.
type Entry struct {
	Number int    `json:"number"`
	Level  Level  `json:"-"`
	Name   string `json:"name"`   // the log line's message
	Cause  string `json:"cause"`  // what brings it about
	Expect string `json:"expect"` // what is noticed, and what to do
}

// Events of the daemon as a process, 100 to 199.
const (
	DaemonStarted   = 100
	DaemonReady     = 101
	DaemonDraining  = 102
	DaemonStopped   = 103
	DaemonPaused    = 104
	DrainIncomplete = 105
	PlatformAway    = 110
	PlatformBack    = 111
	PeerMessageBad  = 120
	CertReloaded    = 130
	CertReloadError = 131
	TargetUnknown   = 140
	ViewRefused     = 141
)

// Catalogue lists every event the daemon can log, by number.
func Catalogue() []Entry {
	return []Entry{
		{DaemonStarted, LevelInfo, "daemon started", "the process began", "it is not ready until it has a configuration and a list of instances (101)"},
		{DaemonReady, LevelInfo, "daemon ready", "the first configuration came in force", "callers are served from now on"},
		{DaemonDraining, LevelInfo, "draining", "SIGTERM or SIGINT", "new requests are refused, those in flight finish, then the process exits with 0"},
		{DaemonStopped, LevelInfo, "stopped", "the drain ended", "none"},
		{DaemonPaused, LevelWarn, "process was paused", "the process did not run for longer than a second: stopped, starved or suspended", "forwards that waited through the pause are refused as not run; look for an overcommitted machine"},
		{DrainIncomplete, LevelWarn, "drain gave up", "requests were still in flight when limits.draintime had passed", "those requests were cut; raise limits.draintime if their answers take longer by design"},
		{PlatformAway, LevelWarn, "platform away", "the platform could not be read", "the fleet goes on with what it has; nothing to do at the fleet"},
		{PlatformBack, LevelInfo, "platform back", "the platform answered again", "none"},
		{PeerMessageBad, LevelWarn, "peer message refused", "a daemon sent what this version can not read", "expected for minutes during a roll-out of a new version"},
		{CertReloaded, LevelInfo, "certificates reloaded", "SIGHUP", "new sessions use the new certificate"},
		{CertReloadError, LevelError, "certificates not reloaded", "SIGHUP, but the files could not be read or do not fit", "the former certificate stays in use; mend the files and send SIGHUP again"},
		{TargetUnknown, LevelWarn, "target not in the policy", "the settings name a target of a service that the configuration in force does not have", "publish the service's policy or mend the settings; the target gets no work"},
		{ViewRefused, LevelError, "routes refused", "a configuration came whose routes can not be served together", "the former routes stay in force; run `camphorroad policy check` on the files and publish again"},
	}
}
