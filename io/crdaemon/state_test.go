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

// newTestDaemon returns a daemon with a running control loop and without sockets.
func newTestDaemon(t *testing.T) *daemon {
	t.Helper()
	cfg := crsettings.Defaults()
	cfg.Name, cfg.Domain = "booking-1", "north"
	m := newInstruments(metrics.NewRegistry())
	pauseDetector := crforward.NewPauseDetector(crforward.DefaultPauseThreshold, crclock.Now())
	rec := crhealth.NewRecorder()
	exit := newExit(cfg, pauseDetector, m, rec)
	s, err := newShell(nil, cfg, crlog.New(io.Discard, "info", cfg.Name), pauseDetector, exit, m, rec)
	if err != nil {
		t.Fatal(err)
	}
	s.peers = &crpeer.Transport{}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go s.loop.Run(ctx)
	return &daemon{cfg: cfg, shell: s, exit: exit, entry: crentry.New(crentry.Options{Clock: crclock.Now})}
}

// Tools depend on the fields of the dump. The fields are collected from the types,
// so that those that are empty in an idle daemon are included.
func TestDumpFields(t *testing.T) {
	d := newTestDaemon(t)
	dump, err := d.state(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	fields := make(map[string]bool)
	collectFields(t, reflect.ValueOf(dump), reflect.TypeOf(dump), "", fields)
	compareGolden(t, "state.golden", strings.Join(slices.Sorted(maps.Keys(fields)), "\n")+"\n")
}

// An unknown part must be an error and not an empty part.
func TestDumpParts(t *testing.T) {
	d := newTestDaemon(t)
	for _, part := range []string{"member", "config", "account", "traffic"} {
		if v, err := d.state(t.Context(), part); err != nil || v == nil {
			t.Errorf("part %s: %v, %v", part, v, err)
		}
	}
	if _, err := d.state(t.Context(), "wallet"); !errors.Is(err, cradmin.ErrUnknownPart) {
		t.Errorf("got %v for an unknown part", err)
	}
}

// collectFields adds the paths of all fields to fields. It fails the test for types
// that contain secrets.
func collectFields(t *testing.T, v reflect.Value, typ reflect.Type, path string, fields map[string]bool) {
	t.Helper()
	if typ == reflect.TypeFor[crpolicy.KeyHash]() || typ == reflect.TypeFor[crpolicy.Account]() {
		t.Errorf("%s contains the hash of a key", path)
	}
	switch typ.Kind() {
	case reflect.Interface:
		if v.IsValid() && !v.IsNil() {
			collectFields(t, v.Elem(), v.Elem().Type(), path, fields)
		}
	case reflect.Pointer, reflect.Slice:
		collectFields(t, reflect.Value{}, typ.Elem(), path, fields)
	case reflect.Map:
		collectMapFields(t, v, typ, path, fields)
	case reflect.Struct:
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			var field reflect.Value
			if v.IsValid() {
				field = v.Field(i)
			}
			collectFields(t, field, typ.Field(i).Type, path+"."+name, fields)
		}
	default:
		fields[path] = true
	}
}

func collectMapFields(t *testing.T, v reflect.Value, typ reflect.Type, path string, fields map[string]bool) {
	t.Helper()
	if typ.Elem().Kind() != reflect.Interface || !v.IsValid() {
		collectFields(t, reflect.Value{}, typ.Elem(), path+".*", fields)
		return
	}
	for _, key := range v.MapKeys() {
		collectFields(t, v.MapIndex(key), typ.Elem(), path+"."+key.String(), fields)
	}
}
