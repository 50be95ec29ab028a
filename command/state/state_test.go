package state_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"camphorroad/command/factory"
	"camphorroad/command/state"
	"camphorroad/io/cradmin"
)

func TestShowPrintsStateOrError(t *testing.T) {
	srv := httptest.NewServer(cradmin.New(cradmin.Options{State: func(_ context.Context, part string) (any, error) {
		if part == "health" {
			return nil, cradmin.ErrUnknownPart
		}
		return map[string]string{"part": part}, nil
	}}))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	for _, tt := range []struct{ part, want, wantErr string }{
		{part: "", want: `"part": ""`},
		{part: "member", want: `"part": "member"`},
		{part: "health", wantErr: "no such part of the state"},
	} {
		var out bytes.Buffer
		err := state.NewShow(addr, tt.part).Run(t.Context(), &factory.Factory{Out: &out})
		switch {
		case tt.wantErr != "" && (err == nil || !strings.Contains(err.Error(), tt.wantErr)):
			t.Errorf("part %q gives %v", tt.part, err)
		case tt.wantErr == "" && (err != nil || !strings.Contains(out.String(), tt.want)):
			t.Errorf("part %q gives %v and %q", tt.part, err, out.String())
		}
	}
}
