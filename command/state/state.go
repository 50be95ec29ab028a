// Package state holds the command that shows a daemon's state.
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

// Commands are the verbs on a daemon's state.
type Commands struct {
	Show ShowOptions `cmd:"" help:"Show the whole state of a running daemon."`
}

// ShowOptions shows a state dump.
type ShowOptions struct {
	Addr string `arg:"" help:"The daemon's admin address, host:port."`
	Part string `enum:",member,config,account,health,traffic" default:"" placeholder:"NAME" help:"Only one part: member, config, account, health or traffic."`
}

// NewShow returns the options for an address and a part; empty for the whole.
func NewShow(addr, part string) *ShowOptions { return &ShowOptions{Addr: addr, Part: part} }

// Help is shown with the command's flags.
func (*ShowOptions) Help() string {
	return `Prints the dump as JSON. It holds no key and no certificate.

EXAMPLES
  $ camphorroad state show 127.0.0.1:7001
  $ camphorroad state show 127.0.0.1:7001 --part account`
}

const (
	showTimeout = 5 * time.Second
	maxDump     = 64 << 20
)

// Run asks the daemon and prints what it says.
func (o *ShowOptions) Run(ctx context.Context, f *factory.Factory) error {
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Addr+"/state?part="+url.QueryEscape(o.Part), nil)
	if err != nil {
		return fmt.Errorf("%w: %s is no host:port", factory.ErrUsage, o.Addr)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("no daemon answers at %s (give its listen.admin address): %w", o.Addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDump))
	if err != nil {
		return fmt.Errorf("read the dump: %w", err)
	}
	var refused struct{ Error string }
	if resp.StatusCode != http.StatusOK && json.Unmarshal(body, &refused) == nil && refused.Error != "" {
		return fmt.Errorf("%s answered: %s", o.Addr, refused.Error)
	}
	if resp.StatusCode != http.StatusOK || !json.Valid(body) {
		return fmt.Errorf("%s answered %s without a dump", o.Addr, resp.Status)
	}
	_, err = f.Out.Write(append(body, '\n'))
	return err
}
