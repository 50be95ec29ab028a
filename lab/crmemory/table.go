package crmemory

import (
	"strconv"
	"time"
)

const megabyte = 1e6

// Header returns the column names of [Row.Cells]. Memory is in megabytes (10^6 bytes).
func Header() []string {
	return []string{
		"STAGE", "ACCOUNTS", "SECONDS", "CPUSECONDS", "RESIDENT", "PEAK", "MAPPED", "HEAP", "IDLE", "STACKS", "RUNTIME", "COLLECTIONS",
	}
}

// Cells returns the columns of the row.
func (r Row) Cells() []string {
	cells := []string{
		r.Stage, strconv.Itoa(r.Accounts), decimal(float64(r.Took) / float64(time.Second)), strconv.FormatFloat(r.CPU, 'f', 2, 64),
	}
	m := r.Memory
	for _, b := range []float64{m.Resident, m.Peak, m.Mapped, m.Heap, m.Idle, m.Stacks, m.Runtime} {
		cells = append(cells, decimal(b/megabyte))
	}
	return append(cells, strconv.FormatFloat(m.Collections, 'f', 0, 64))
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }
