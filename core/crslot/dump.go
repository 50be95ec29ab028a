package crslot

import (
	"slices"
	"strings"
	"time"

	"camphorroad/core/crid"
)

// AccountDump is one account's part of a [Dump].
type AccountDump struct {
	Account  crid.Account  `json:"account"`
	InFlight int           `json:"inflight"`
	Waiting  int           `json:"waiting"`
	MeanServiceTime     time.Duration `json:"cost"` // smoothed service time
}

// Dump is the state of a queue for the state dump.
type Dump struct {
	Slots    int           `json:"slots"` // in effect now
	MaxSlots     int           `json:"most"`  // without shed answers
	InFlight int           `json:"inflight"`
	Waiting  int           `json:"waiting"`
	MaxWaiting     int           `json:"room"`
	Draining bool          `json:"draining"`
	MeanServiceTime     time.Duration `json:"mean"` // smoothed service time
	Backlog  time.Duration `json:"backlog"`
	Accounts []AccountDump `json:"accounts"` // those that run or wait, sorted
}

// Dump returns the state now.
func (q *Queue) Dump() Dump {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := Dump{
		Slots:    q.limit.slots(),
		MaxSlots:     int(q.limit.most),
		InFlight: q.inFlight,
		Waiting:  q.waiting,
		MaxWaiting:     q.room,
		Draining: q.draining,
		MeanServiceTime:     time.Duration(q.mean),
		Backlog:  q.backlog(),
	}
	for _, f := range q.flows {
		if f.held() > 0 {
			d.Accounts = append(d.Accounts, AccountDump{f.account, len(f.running), len(f.waiters), time.Duration(f.cost)})
		}
	}
	slices.SortFunc(d.Accounts, func(a, b AccountDump) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return d
}
