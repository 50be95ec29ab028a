package crtrace

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crmember"
)

// summarize adds one event and its effects to the report.
func (r *replayer) summarize(ev crevent.Event, effects []crevent.Effect) {
	if started, ok := ev.(crevent.Started); ok {
		r.report.Daemon = started.Self
	}
	for _, eff := range effects {
		r.report.Effects[eff.EffectName()]++
		switch eff := eff.(type) {
		case crevent.Report:
			r.report.LogEvents[eff.Number]++
		case crconfig.Applied:
			r.report.Revisions = append(r.report.Revisions, eff.Snapshot.Revision())
		case crmember.Lease:
			r.report.addLease(eff)
		}
	}
}

// addLease adds a lease only if its list differs from the last one, since every
// heartbeat renews the lease.
func (r *Report) addLease(lease crmember.Lease) {
	list := lease.Active
	if lease.Until == 0 {
		list = 0
	}
	if n := len(r.ActiveLists); n > 0 && r.ActiveLists[n-1] == list {
		return
	}
	r.ActiveLists = append(r.ActiveLists, list)
}

// Show prints one line per record of a trace: the number of the event that the
// record belongs to, the kind and the content.
func Show(src io.Reader, w io.Writer) error {
	c, err := newCodec()
	if err != nil {
		return err
	}
	r, err := newReader(src)
	if err != nil {
		return err
	}
	for number := 0; ; {
		rec, err := r.read()
		if err == io.EOF { //nolint:errorlint // read returns io.EOF unwrapped at the end of the trace
			return nil
		}
		if err != nil {
			return err
		}
		text, err := c.formatRecord(rec)
		if err != nil {
			return r.fail(err)
		}
		if isEvent(rec.Kind) {
			number++
		}
		if _, err := fmt.Fprintf(w, "%d\t%s\t%s\n", number, rec.Kind, text); err != nil {
			return err
		}
	}
}

func isEvent(kind string) bool {
	switch kind {
	case kindHeader, kindParse, kindLoad, kindDone:
		return false
	}
	return true
}

// formatRecord returns a record in CBOR's diagnostic notation. A received message is
// preceded by its time and sender.
func (c *codec) formatRecord(rec record) (string, error) {
	body := []byte(rec.Body)
	prefix := ""
	if rec.Kind == kindReceived {
		var r received
		if err := rec.decode(&r); err != nil {
			return "", err
		}
		prefix = fmt.Sprintf("t=%d from=%s ", r.Now, r.From)
		body = r.Msg
	}
	text, err := cbor.Diagnose(body)
	if err != nil {
		return "", fmt.Errorf("%w: %s: %w", ErrInvalidRecord, rec.Kind, err)
	}
	return prefix + text, nil
}
