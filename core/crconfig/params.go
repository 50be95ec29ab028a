package crconfig

import (
	"time"

	"camphorroad/core/crmember"
)

// Params are the reducer's settings.
type Params struct {
	Readers          int           // daemons of a domain that hold the watch
	Standbys         int           `cbor:"Spares" json:"Spares"` // daemons ranked next, which step in for readers that can not read
	Voters           int           // of a list, whom membership hears for certain; crmember's MaxVoters
	PeerTimeout      time.Duration `cbor:"Silence" json:"Silence"` // after which a ranked daemon that is not heard is taken for away
	Fanout           int           // peers told at a time of what this daemon has
	GossipInterval   time.Duration `cbor:"SpreadEvery" json:"SpreadEvery"` // between two tellings
	PullTimeout      time.Duration // after which a silent peer is given up; doubles with every third
	PullTries        int           // peers tried before the platform is read instead
	PushBytes        int           // of values in one message
	PushItems        int           // instances in one message
	ReadsPerTick     int           // platform calls per 50 ms of a settled reader
	ReadTimeout      time.Duration // of one platform call other than a watch
	WatchWait        time.Duration `cbor:"ReaderWait" json:"ReaderWait"` // for which a settled reader's watch waits: a silence leaves its domain deaf for as long
	ResponseTimeout  time.Duration `cbor:"AnswerTime" json:"AnswerTime"` // of a watch, beyond its wait
	FleetSize        int           `cbor:"Fleet" json:"Fleet"`           // daemons that may start, or lose their peers, at once
	PlatformRate     int           // platform calls a second that all but the settled readers may make together
	SettleTime       time.Duration `cbor:"Settle" json:"Settle"` // for which a rank must last before the watch starts
	PeerGrace        time.Duration `cbor:"Grace" json:"Grace"`   // in which a fresh daemon without peers waits for some
	QueryFanout      int           `cbor:"Ask" json:"Ask"`       // peers asked by a fresh daemon
	Backoff          time.Duration // after a first failure of the platform or of all peers
	BackoffMax       time.Duration // after many
	ReaderBackoffMax time.Duration `cbor:"ReaderPause" json:"ReaderPause"` // the most that a reader pauses after a failed watch: its domain waits for it
	BehindMax        time.Duration // for which a peer's newer configuration may be missing before keys are distrusted
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

// share is the rate, in platform calls a second, of one daemon that reads the
// platform without being a settled reader. However many do so, all of them
// together stay within PlatformRate.
func (p Params) share() float64 {
	return float64(p.PlatformRate) / float64(max(p.FleetSize, 1))
}

// spread is the time over which daemons scatter a step that all may take at once.
func (p Params) spread() time.Duration {
	return time.Duration(p.FleetSize) * 4 * time.Second / time.Duration(max(p.PlatformRate, 1))
}

// pages is the number of platform calls that a list of the whole fleet takes.
func (p Params) pages() float64 { return float64(1 + p.FleetSize/pageInstances) }

// pageInstances is the number of instances that the platform tells in a call of
// less than a megabyte, with some nine targets each.
const pageInstances = 1300
