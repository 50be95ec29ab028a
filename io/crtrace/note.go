package crtrace

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crmember"
)

// note adds one event to the report.
func (p *player) note(ev crevent.Event, effects []crevent.Effect) {
	if started, ok := ev.(crevent.Started); ok {
		p.report.Daemon = started.Self
	}
	for _, eff := range effects {
		p.report.Effects[eff.EffectName()]++
		switch eff := eff.(type) {
		case crevent.Report:
			p.report.LogEvents[eff.Number]++
		case crconfig.Applied:
			p.report.Revisions = append(p.report.Revisions, eff.Snapshot.Revision())
		case crmember.Lease:
			p.report.tenure(eff)
		}
	}
}

// tenure notes changes only; renewals come with every beat.
func (r *Report) tenure(t crmember.Lease) {
	list := t.Active
	if t.Until == 0 {
		list = 0
	}
	if n := len(r.ActiveLists); n > 0 && r.ActiveLists[n-1] == list {
		return
	}
	r.ActiveLists = append(r.ActiveLists, list)
}

// Show prints the records of a trace, one a line: the number of the event that
// they belong to, kind and content.
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
		if err == io.EOF { //nolint:errorlint // an orderly end comes unwrapped
			return nil
		}
		if err != nil {
			return err
		}
		text, err := c.text(rec)
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

// text is a record in CBOR's diagnostic notation, a message with its sender.
func (c *codec) text(rec record) (string, error) {
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
