package crtrace

import (
	"fmt"
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"camphorroad/core/craccount"
	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crhealth"
	"camphorroad/core/crid"
	"camphorroad/core/crinstance"
	"camphorroad/core/crmember"
	"camphorroad/io/crwire"
)

// Kinds of events that have their own record type.
const (
	kindReceived = "received"
	kindRead     = "read"
	kindListRead = "listread"
)

// plainEvents returns, by kind, the events that are encoded as they are.
func plainEvents() map[string]reflect.Type {
	return map[string]reflect.Type{
		"started":   reflect.TypeFor[crevent.Started](),
		"tick":      reflect.TypeFor[crevent.Tick](),
		"stopping":  reflect.TypeFor[crevent.Stopping](),
		"advertise": reflect.TypeFor[crmember.AdvertiseConfig](),
		"watched":   reflect.TypeFor[crconfig.WatchResult](),
		"used":      reflect.TypeFor[craccount.UsageDrained](),
		"observed":  reflect.TypeFor[crhealth.Observed](),
	}
}

type received struct {
	Now  crid.Instant `cbor:"t"`
	From crid.Daemon  `cbor:"f"`
	Msg  []byte       `cbor:"m"` // encoded by codec.registry, with its kind
}

type read struct {
	Now   crid.Instant   `cbor:"t"`
	Value redactedPart   `cbor:"v"`
	Fault crconfig.Fault `cbor:"f"`
}

type listRead struct {
	Now       crid.Instant          `cbor:"t"`
	Rev       crid.Revision         `cbor:"r"`
	Instances []crinstance.Instance `cbor:"i"`
	Fault     crconfig.Fault        `cbor:"f"`
}

// codec converts between events and records.
type codec struct {
	registry   *crwire.Registry // all messages, in their recorded form
	kindByType map[reflect.Type]string
	typeByKind map[string]reflect.Type
	canonical  cbor.EncMode // deterministic: sorts the keys of maps
}

func newCodec() (*codec, error) {
	config := crconfig.Messages()
	for i, msg := range config {
		config[i] = redactMessage(msg)
	}
	redacted, err := crwire.NewRegistry(crmember.Messages(), config, craccount.Messages(), crhealth.Messages())
	if err != nil {
		return nil, err
	}
	canonical, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	c := &codec{registry: redacted, kindByType: make(map[reflect.Type]string), typeByKind: plainEvents(), canonical: canonical}
	for kind, t := range c.typeByKind {
		c.kindByType[t] = kind
	}
	return c, nil
}

// encode returns the encoded record of an event. Its errors wrap ErrInvalidRecord.
func (c *codec) encode(ev crevent.Event) ([]byte, error) {
	switch ev := ev.(type) {
	case crevent.Received:
		msg, err := c.registry.Encode(redactMessage(ev.Msg))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
		}
		return encode(kindReceived, received{Now: ev.Now, From: ev.From, Msg: msg})
	case crconfig.ReadResult:
		return encode(kindRead, redactRead(ev))
	case crconfig.ListResult:
		return encode(kindListRead, listRead{Now: ev.Now, Rev: ev.List.Revision(), Instances: ev.List.Instances(), Fault: ev.Fault})
	}
	kind, ok := c.kindByType[reflect.TypeOf(ev)]
	if !ok {
		return nil, fmt.Errorf("%w: no kind for the event %T", ErrInvalidRecord, ev)
	}
	return encode(kind, ev)
}

// redactRead returns the recorded form of a read. A placeholder always matches its
// digest, so a read without a fault whose data does not match its digest is recorded
// with FaultMissing.
func redactRead(ev crconfig.ReadResult) read {
	matches := crconfig.DigestOf(ev.Data) == ev.Digest
	r := read{Now: ev.Now, Value: redactPart(ev.Digest, 0, len(ev.Data), ev.Data), Fault: ev.Fault}
	if !matches && ev.Fault == crconfig.FaultNone {
		r.Fault = crconfig.FaultMissing
	}
	return r
}

// decode returns the event of a record, or nil if the record is not an event.
func (c *codec) decode(rec record) (crevent.Event, error) {
	switch rec.Kind {
	case kindReceived:
		return c.decodeReceived(rec)
	case kindRead:
		return decodeRead(rec)
	case kindListRead:
		var l listRead
		err := rec.decode(&l)
		return crconfig.ListResult{Now: l.Now, List: crinstance.NewList(l.Rev, l.Instances), Fault: l.Fault}, err
	}
	t, ok := c.typeByKind[rec.Kind]
	if !ok {
		return nil, nil
	}
	v := reflect.New(t)
	if err := rec.decode(v.Interface()); err != nil {
		return nil, err
	}
	return v.Elem().Interface().(crevent.Event), nil
}

func (c *codec) decodeReceived(rec record) (crevent.Event, error) {
	var r received
	if err := rec.decode(&r); err != nil {
		return nil, err
	}
	msg, err := c.registry.Decode(r.Msg)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	if p, ok := msg.(redactedPush); ok {
		if msg, err = p.restore(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
		}
	}
	return crevent.Received{Now: r.Now, From: r.From, Msg: msg}, nil
}

func decodeRead(rec record) (crevent.Event, error) {
	var r read
	if err := rec.decode(&r); err != nil {
		return nil, err
	}
	data, err := r.Value.placeholder()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	return crconfig.ReadResult{Now: r.Now, Digest: r.Value.Digest, Data: data, Fault: r.Fault}, nil
}

// digestEffects returns the number and the digest of the effects of one event.
func (c *codec) digestEffects(effects []crevent.Effect) (done, error) {
	h := xxhash.New()
	for _, eff := range effects {
		b, err := c.canonical.Marshal(digestedPart(eff))
		if err != nil {
			return done{}, fmt.Errorf("%w: effect %s: %w", ErrInvalidRecord, eff.EffectName(), err)
		}
		_, _ = h.WriteString(eff.EffectName())
		_, _ = h.Write(b)
	}
	return done{Effects: len(effects), Digest: h.Sum64()}, nil
}

// digestedPart returns the part of an effect that is digested. It excludes all data
// that a trace does not contain.
func digestedPart(eff crevent.Effect) any {
	switch eff := eff.(type) {
	case crevent.Send:
		return []any{eff.To, eff.Msg.MessageKind(), redactMessage(eff.Msg)}
	case crinstance.ListUpdated:
		return []any{eff.Now, eff.List.Revision(), eff.List.Instances()}
	case crconfig.Applied:
		return []any{eff.Now, eff.Snapshot.Revision()}
	}
	return eff
}
