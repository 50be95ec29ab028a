package key_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"camphorroad/command/factory"
	"camphorroad/command/key"
)

func run(t *testing.T, in string, cmd interface{ Run(*factory.Factory) error }) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := cmd.Run(&factory.Factory{In: strings.NewReader(in), Out: &out, ErrOut: &out})
	return strings.TrimSpace(out.String()), err
}

func TestHashMatchesNewKey(t *testing.T) {
	out, err := run(t, "", key.NewNew())
	if err != nil {
		t.Fatal(err)
	}
	secret, hash, _ := strings.Cut(out, "\t")
	if !strings.HasPrefix(secret, key.Prefix) || len(secret) != 47 {
		t.Errorf("key is %q", secret)
	}
	rehashed, err := run(t, secret+"\n", key.NewHash())
	if err != nil || rehashed != hash {
		t.Errorf("key new prints the hash %q, key hash prints %q, %v", hash, rehashed, err)
	}
}

func TestHashWithoutKeyIsUsageError(t *testing.T) {
	if _, err := run(t, "\n", key.NewHash()); !errors.Is(err, factory.ErrUsage) {
		t.Errorf("got %v", err)
	}
}
