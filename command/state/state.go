// Package state holds the command that requests the state dump from the admin address of
// a running daemon, which io/cradmin serves, and prints it.
package state

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"camphorroad/command/factory"
)

// Commands are the subcommands of `state`.
type Commands struct {
	Show ShowOptions `cmd:"" help:"Print the state of a running daemon."`
}

// ShowOptions are the options of `state show`.
type ShowOptions struct {
	Addr string `arg:"" help:"The daemon's admin address, host:port."`
	Part string `enum:",member,config,account,health,traffic" default:"" placeholder:"NAME" help:"Print only one part: member, config, account, health or traffic."`
}

// NewShow returns the options for an address and a part; empty for all parts.
func NewShow(addr, part string) *ShowOptions { return &ShowOptions{Addr: addr, Part: part} }

// Help is shown with the command's flags.
func (*ShowOptions) Help() string {
	return `Prints the state as JSON. It contains no keys and no certificates.

EXAMPLES
  $ camphorroad state show 127.0.0.1:7001
  $ camphorroad state show 127.0.0.1:7001 --part account`
}

const (
	showTimeout  = 5 * time.Second
	maxDumpBytes = 64 << 20
)

// Run requests the dump from the daemon and prints it.
func (o *ShowOptions) Run(ctx context.Context, f *factory.Factory) error {
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Addr+"/state?part="+url.QueryEscape(o.Part), nil)
	if err != nil {
		return fmt.Errorf("%w: %s is not host:port", factory.ErrUsage, o.Addr)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("no response from a daemon at %s (give its listen.admin address): %w", o.Addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDumpBytes))
	if err != nil {
		return fmt.Errorf("read the state dump: %w", err)
	}
	var failure struct{ Error string }
	if resp.StatusCode != http.StatusOK && json.Unmarshal(body, &failure) == nil && failure.Error != "" {
		return fmt.Errorf("%s responded: %s", o.Addr, failure.Error)
	}
	if resp.StatusCode != http.StatusOK || !json.Valid(body) {
		return fmt.Errorf("%s responded %s without a state dump", o.Addr, resp.Status)
	}
	_, err = f.Out.Write(append(body, '\n'))
	return err
}
