package crconfig

import (
	"slices"

	"camphorroad/core/crid"
)

// maxWants bounds the values named in one Pull.
const maxWants = 64

// pull asks the chosen peer for what is missing.
func (s *State) pull(now crid.Instant) {
	f := s.nextConf
	var wants []Want
	for _, e := range s.missing() {
		if len(wants) == maxWants {
			break
		}
		wants = append(wants, Want{Digest: e.Digest, Offset: len(f.parts[e.Digest])})
	}
	f.due = now.Add(s.params.PullTimeout << min(f.tries/3, maxShift))
	s.send(f.peer, Pull{Want: wants})
}

// servePull answers with as much as one message may hold.
func (s *State) servePull(to crid.Daemon, msg Pull) {
	var parts []Part
	room := s.params.PushBytes
	for _, want := range msg.Want {
		data, ok := s.conf.values[want.Digest]
		if want.Digest == s.conf.digest {
			data, ok = s.conf.raw, s.conf.rev > 0
		}
		if !ok || want.Offset < 0 || want.Offset >= len(data) || room == 0 {
			continue
		}
		n := min(room, len(data)-want.Offset)
		room -= n
		parts = append(parts, Part{Digest: want.Digest, Offset: want.Offset, Size: len(data), Data: data[want.Offset : want.Offset+n]})
	}
	s.send(to, Push{Parts: parts})
}

// push takes what a peer sent, if it is the one asked: a late duplicate from
// another must neither count nor disturb. Parts that do not fit are left out;
// a peer that sends nothing else is given up when its time is over.
func (s *State) push(now crid.Instant, from crid.Daemon, msg Push) {
	f := s.nextConf
	if f == nil || f.peer != from {
		return
	}
	took := false
	for _, p := range msg.Parts {
		took = s.takePart(from, p) || took
		if s.nextConf != f || f.peer == "" {
			return
		}
	}
	if len(msg.Parts) == 0 {
		s.giveUp(f)
		return
	}
	if took && len(s.missing()) > 0 {
		s.pull(now)
	}
}

// takePart appends a part that continues what is here; it reports whether it did.
func (s *State) takePart(from crid.Daemon, p Part) bool {
	f := s.nextConf
	have := f.parts[p.Digest]
	wanted := slices.ContainsFunc(s.missing(), func(e Entry) bool { return e.Digest == p.Digest })
	if !wanted || p.Offset != len(have) || len(p.Data) == 0 || p.Size >= MaxValueSize || len(have)+len(p.Data) > p.Size {
		return false
	}
	data := append(have, p.Data...)
	if len(data) < p.Size {
		f.parts[p.Digest] = data
		return true
	}
	delete(f.parts, p.Digest)
	if s.digestOf(data) != p.Digest {
		s.report(EventCorruptPush, "from", string(from), "digest", p.Digest.String())
		s.giveUp(f)
		return false
	}
	s.collect(p.Digest, data)
	return true
}
