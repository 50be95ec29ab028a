package crconfig

import (
	"slices"

	"camphorroad/core/crid"
)

// maxWants bounds the number of values in one Pull.
const maxWants = 64

// sendPull requests the missing values from the current peer.
func (s *State) sendPull(now crid.Instant) {
	f := s.nextConf
	var wants []Want
	for _, e := range s.missing() {
		if len(wants) == maxWants {
			break
		}
		wants = append(wants, Want{Digest: e.Digest, Offset: len(f.partial[e.Digest])})
	}
	f.deadline = now.Add(s.params.PullTimeout << min(f.attempts/3, maxBackoffShift))
	s.send(f.peer, Pull{Want: wants})
}

// servePull replies with as many bytes as one message may hold.
func (s *State) servePull(to crid.Daemon, msg Pull) {
	var parts []Part
	budget := s.params.PushBytes
	for _, want := range msg.Want {
		data, ok := s.conf.values[want.Digest]
		if want.Digest == s.conf.digest {
			data, ok = s.conf.raw, s.conf.rev > 0
		}
		if !ok || want.Offset < 0 || want.Offset >= len(data) || budget == 0 {
			continue
		}
		n := min(budget, len(data)-want.Offset)
		budget -= n
		parts = append(parts, Part{Digest: want.Digest, Offset: want.Offset, Size: len(data), Data: data[want.Offset : want.Offset+n]})
	}
	s.send(to, Push{Parts: parts})
}

// handlePush handles a reply to a pull. A push from any peer but the current one
// is ignored, such as a late duplicate. Parts that do not continue the bytes
// received so far are skipped; a peer that sends only such parts is dropped when
// its deadline passes.
func (s *State) handlePush(now crid.Instant, from crid.Daemon, msg Push) {
	f := s.nextConf
	if f == nil || f.peer != from {
		return
	}
	appended := false
	for _, p := range msg.Parts {
		appended = s.appendPart(from, p) || appended
		if s.nextConf != f || f.peer == "" {
			return
		}
	}
	if len(msg.Parts) == 0 {
		s.dropPeer(f)
		return
	}
	if appended && len(s.missing()) > 0 {
		s.sendPull(now)
	}
}

// appendPart appends a part to the bytes received so far. It reports false for a
// part that does not continue them.
func (s *State) appendPart(from crid.Daemon, p Part) bool {
	f := s.nextConf
	have := f.partial[p.Digest]
	wanted := slices.ContainsFunc(s.missing(), func(e Entry) bool { return e.Digest == p.Digest })
	if !wanted || p.Offset != len(have) || len(p.Data) == 0 || p.Size >= MaxValueSize || len(have)+len(p.Data) > p.Size {
		return false
	}
	data := append(have, p.Data...)
	if len(data) < p.Size {
		f.partial[p.Digest] = data
		return true
	}
	delete(f.partial, p.Digest)
	if s.digestOf(data) != p.Digest {
		s.report(EventCorruptPush, "from", string(from), "digest", p.Digest.String())
		s.dropPeer(f)
		return false
	}
	s.addValue(p.Digest, data)
	return true
}
