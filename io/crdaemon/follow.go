package crdaemon

import (
	"context"
	"math"
	"time"

	"camphorroad/core/crconfig"
	"camphorroad/core/crevent"
	"camphorroad/core/crinstance"
	"camphorroad/io/crclock"
	"camphorroad/io/crplatform"
	"camphorroad/io/crpolicyfile"
)

// follow reads the platform and puts what it finds in force. It stands in until
// the configuration reducer takes its place.
func (d *daemon) follow(ctx context.Context, platform *crplatform.Client) {
	var seen crconfig.Head
	for ctx.Err() == nil {
		head, err := platform.Watch(ctx, seen.Rev, 10*time.Second)
		if err == nil && head != seen {
			err = d.take(ctx, platform, head)
		}
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		seen = head
	}
}

func (d *daemon) take(ctx context.Context, platform *crplatform.Client, head crconfig.Head) error {
	list, err := platform.Instances(ctx)
	if err != nil {
		return err
	}
	data, err := platform.Value(ctx, crplatform.ManifestName, head.Manifest)
	if err != nil {
		return err
	}
	m, err := crpolicyfile.ParseManifest(data)
	if err != nil {
		return err
	}
	values := make(map[string][]byte)
	for _, e := range m.Entries {
		if values[e.Name], err = platform.Value(ctx, e.Name, e.Digest); err != nil {
			return err
		}
	}
	snap, err := crpolicyfile.Load(head.Conf, m, values)
	if err != nil {
		return err
	}
	d.shell.trusted.Store(math.MaxInt64)
	_ = d.shell.loop.Post(crinstance.Listed{Now: crclock.Now(), List: list})
	return d.shell.loop.Post(crconfig.InForce{Now: crclock.Now(), Snapshot: snap})
}

// relay hands on what follow has read, until the configuration reducer does.
type relay struct{}

// Step implements crdaemon.Reducer.
func (relay) Step(ev crevent.Event) []crevent.Effect {
	switch ev := ev.(type) {
	case crinstance.Listed:
		return []crevent.Effect{ev}
	case crconfig.InForce:
		return []crevent.Effect{ev}
	}
	return nil
}

// Dump implements crdaemon.Reducer.
func (relay) Dump() any { return nil }
