package crconfig

import (
	"time"

	"camphorroad/core/crmember"
)

// Params are the reducer's settings. State.isConfirmedReader describes confirmed
// readers.
type Params struct {
	Readers          int           // daemons of a domain that watch the platform
	Standbys         int           `cbor:"Spares" json:"Spares"` // daemons ranked next, which replace readers that cannot read
	Voters           int           // daemons of a list whose loss membership always detects; crmember's MaxVoters
	PeerTimeout      time.Duration `cbor:"Silence" json:"Silence"` // after which a ranked daemon that sent no Have counts as unavailable
	Fanout           int           // peers of one gossip round
	GossipInterval   time.Duration `cbor:"SpreadEvery" json:"SpreadEvery"` // between two gossip rounds
	PullTimeout      time.Duration // after which a pull fails; doubles after every third failure
	PullTries        int           // failed pulls before the fallback to the platform
	PushBytes        int           // bytes of values in one message
	PushItems        int           // instances in one message
	ReadsPerTick     int           // platform calls per 50 ms of a confirmed reader
	ReadTimeout      time.Duration // of one platform call other than a watch
	WatchWait        time.Duration `cbor:"ReaderWait" json:"ReaderWait"` // wait of a confirmed reader's watch; if the platform stops responding, its domain gets no changes for as long
	ResponseTimeout  time.Duration `cbor:"AnswerTime" json:"AnswerTime"` // for the response to a watch, beyond its wait
	FleetSize        int           `cbor:"Fleet" json:"Fleet"`           // daemons that may start, or lose their peers, at the same time
	PlatformRate     int           // platform calls a second of all daemons but the confirmed readers, in total
	SettleTime       time.Duration `cbor:"Settle" json:"Settle"` // for which a daemon must be selected before it becomes a reader
	PeerGrace        time.Duration `cbor:"Grace" json:"Grace"`   // for which a new daemon without peers waits for some
	QueryFanout      int           `cbor:"Ask" json:"Ask"`       // peers queried by a new daemon
	Backoff          time.Duration // after the first failure of the platform or of all peers
	BackoffMax       time.Duration // upper bound of Backoff
	ReaderBackoffMax time.Duration `cbor:"ReaderPause" json:"ReaderPause"` // upper bound of a confirmed reader's backoff, since its domain depends on it
	BehindMax        time.Duration // for which a peer's newer configuration may be missing before trust is lost
}

// DefaultParams returns the settings for a fleet of up to 6,000 daemons.
func DefaultParams() Params {
	return Params{
		Readers:          2,
		Standbys:         2,
		Voters:           crmember.DefaultParams().MaxVoters,
		PeerTimeout:      3 * time.Second,
		Fanout:           3,
		GossipInterval:   500 * time.Millisecond,
		PullTimeout:      300 * time.Millisecond,
		PullTries:        4,
		PushBytes:        60 << 10,
		PushItems:        400,
		ReadsPerTick:     2,
		ReadTimeout:      5 * time.Second,
		WatchWait:        4 * time.Second,
		ResponseTimeout:  1500 * time.Millisecond,
		FleetSize:        6000,
		PlatformRate:     1200,
		SettleTime:       2 * time.Second,
		PeerGrace:        3 * time.Second,
		QueryFanout:      8,
		Backoff:          time.Second,
		BackoffMax:       30 * time.Second,
		ReaderBackoffMax: 2 * time.Second,
		BehindMax:        9 * time.Second,
	}
}

// rateShare is the rate, in platform calls a second, of one daemon that reads the
// platform without being a confirmed reader. All such daemons together stay
// within PlatformRate.
func (p Params) rateShare() float64 {
	return float64(p.PlatformRate) / float64(max(p.FleetSize, 1))
}

// staggerWindow is the time over which daemons stagger a step that all of them
// may take at once.
func (p Params) staggerWindow() time.Duration {
	return time.Duration(p.FleetSize) * 4 * time.Second / time.Duration(max(p.PlatformRate, 1))
}

// listCalls is the number of platform calls that a list of the whole fleet takes.
func (p Params) listCalls() float64 { return float64(1 + p.FleetSize/instancesPerPage) }

// instancesPerPage is the number of instances, with about nine targets each, that
// the platform returns in a response of less than a megabyte.
const instancesPerPage = 1300
