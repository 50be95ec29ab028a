package crdaemon

import (
	"context"
	"errors"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"camphorroad/core/crforward"
	"camphorroad/core/crhealth"
	"camphorroad/core/crpolicy"
	"camphorroad/io/cradmin"
	"camphorroad/io/crclock"
	"camphorroad/io/crentry"
	"camphorroad/io/crlog"
	"camphorroad/io/crpeer"
	"camphorroad/io/crsettings"
)

// newTestDaemon is a daemon whose control loop runs, without any socket.
func newTestDaemon(t *testing.T) *daemon {
	t.Helper()
	cfg := crsettings.Defaults()
	cfg.Name, cfg.Domain = "booking-1", "north"
	m := newMeters(metrics.NewRegistry())
	pulse := crforward.NewPulse(crforward.DefaultPulseLimit, crclock.Now())
	rec := crhealth.NewRecorder()
	exit := newExit(cfg, pulse, m, rec)
	s, err := newShell(nil, cfg, crlog.New(io.Discard, "info", cfg.Name), pulse, exit, m, rec)
	if err != nil {
		t.Fatal(err)
	}
	s.peers = &crpeer.Transport{}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go s.loop.Run(ctx)
	return &daemon{cfg: cfg, shell: s, exit: exit, entry: crentry.New(crentry.Options{Clock: crclock.Now})}
}

// Those who read dumps by program hold on to the fields. The fields are those
// of the types, so that also what is empty in a quiet daemon is told.
func TestFieldsOfTheDump(t *testing.T) {
	d := newTestDaemon(t)
	dump, err := d.state(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	fields := make(map[string]bool)
	walk(t, reflect.ValueOf(dump), reflect.TypeOf(dump), "", fields)
	golden(t, "state.golden", strings.Join(slices.Sorted(maps.Keys(fields)), "\n")+"\n")
}

// A part that is asked for by a wrong name must not look like an empty one.
func TestPartOfTheDump(t *testing.T) {
	d := newTestDaemon(t)
	for _, part := range []string{"member", "config", "account", "traffic"} {
		if v, err := d.state(t.Context(), part); err != nil || v == nil {
			t.Errorf("part %s: %v, %v", part, v, err)
		}
	}
	if _, err := d.state(t.Context(), "wallet"); !errors.Is(err, cradmin.ErrUnknownPart) {
		t.Errorf("an unknown part gives %v", err)
	}
}

// walk collects the paths of all fields, and refuses types that hold secrets.
func walk(t *testing.T, v reflect.Value, typ reflect.Type, path string, fields map[string]bool) {
	t.Helper()
	if typ == reflect.TypeFor[crpolicy.KeyHash]() || typ == reflect.TypeFor[crpolicy.Account]() {
		t.Errorf("%s holds a key's hash", path)
	}
	switch typ.Kind() {
	case reflect.Interface:
		if v.IsValid() && !v.IsNil() {
			walk(t, v.Elem(), v.Elem().Type(), path, fields)
		}
	case reflect.Pointer, reflect.Slice:
		walk(t, reflect.Value{}, typ.Elem(), path, fields)
	case reflect.Map:
		walkMap(t, v, typ, path, fields)
	case reflect.Struct:
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			var field reflect.Value
			if v.IsValid() {
				field = v.Field(i)
			}
			walk(t, field, typ.Field(i).Type, path+"."+name, fields)
		}
	default:
		fields[path] = true
	}
}

func walkMap(t *testing.T, v reflect.Value, typ reflect.Type, path string, fields map[string]bool) {
	t.Helper()
	if typ.Elem().Kind() != reflect.Interface || !v.IsValid() {
		walk(t, reflect.Value{}, typ.Elem(), path+".*", fields)
		return
	}
	for _, key := range v.MapKeys() {
		walk(t, v.MapIndex(key), typ.Elem(), path+"."+key.String(), fields)
	}
}
