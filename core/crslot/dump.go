package crslot

import (
	"slices"
	"strings"
	"time"

	"camphorroad/core/crid"
)

// AccountDump is one account's part of a [Dump].
type AccountDump struct {
	Account         crid.Account  `json:"account"`
	InFlight        int           `json:"inflight"`
	Waiting         int           `json:"waiting"`
	MeanServiceTime time.Duration `json:"cost"` // moving average
}

// Dump is a Queue's part of the state dump.
type Dump struct {
	Slots           int           `json:"slots"` // current limit
	MaxSlots        int           `json:"most"`  // limit without overload responses
	InFlight        int           `json:"inflight"`
	Waiting         int           `json:"waiting"`
	MaxWaiting      int           `json:"room"`
	Draining        bool          `json:"draining"`
	MeanServiceTime time.Duration `json:"mean"` // moving average
	Backlog         time.Duration `json:"backlog"`
	Accounts        []AccountDump `json:"accounts"` // those with requests, sorted
}

// Dump returns the current state.
func (q *Queue) Dump() Dump {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := Dump{
		Slots:           q.limit.slots(),
		MaxSlots:        int(q.limit.maxSlots),
		InFlight:        q.inFlight,
		Waiting:         q.waiting,
		MaxWaiting:      q.maxWaiting,
		Draining:        q.draining,
		MeanServiceTime: time.Duration(q.meanServiceTime),
		Backlog:         q.backlog(),
	}
	for _, f := range q.flows {
		if f.size() > 0 {
			d.Accounts = append(d.Accounts, AccountDump{f.account, len(f.running), len(f.waiters), time.Duration(f.serviceTime)})
		}
	}
	slices.SortFunc(d.Accounts, func(a, b AccountDump) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return d
}
