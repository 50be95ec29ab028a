package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/samber/oops"

	"camphorroad/command/factory"
	"camphorroad/lab/crplatform"
)

const maxResponseBytes = 64 << 10 // of a response

// PublishOptions are the options of `publish`.
type PublishOptions struct {
	Addr string `default:"127.0.0.1:7400" placeholder:"ADDR" help:"Address of the fake platform."`
	Dir  string `required:"" placeholder:"DIR" help:"Directory with a bundle, instances.toml, or both."`
}

// NewPublish returns the options for an address and a directory.
func NewPublish(addr, dir string) *PublishOptions { return &PublishOptions{Addr: addr, Dir: dir} }

// Help is shown with the command's flags.
func (*PublishOptions) Help() string {
	return `Publishes the bundle that policy build wrote, atomically, and the list of instances.

EXAMPLES
  $ camphorlab publish --addr 127.0.0.1:7400 --dir bundle`
}

// Run publishes the content of the directory and prints the revisions.
func (o *PublishOptions) Run(ctx context.Context, f *factory.Factory) error {
	instances, hasInstances, err := crplatform.ReadInstances(o.Dir)
	if err != nil {
		return oops.Wrapf(err, "read the instances")
	}
	upload, hasBundle, err := crplatform.ReadUpload(o.Dir)
	if err != nil {
		return oops.Wrapf(err, "read the bundle")
	}
	if !hasInstances && !hasBundle {
		return fmt.Errorf("%w: %s holds neither a bundle nor instances.toml", factory.ErrUsage, o.Dir)
	}
	var rows [][]string
	if hasInstances {
		if rows, err = o.send(ctx, rows, http.MethodPut, "instances", instances); err != nil {
			return err
		}
	}
	if hasBundle {
		if rows, err = o.send(ctx, rows, http.MethodPost, "publish", upload); err != nil {
			return err
		}
	}
	return f.Table([]string{"WHAT", "REVISION"}, rows)
}

func (o *PublishOptions) send(ctx context.Context, rows [][]string, method, kind string, v any) ([][]string, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, oops.Wrapf(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Addr+"/lab/"+kind, bytes.NewReader(body))
	if err != nil {
		return nil, oops.Wrapf(err, "create the request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, oops.Wrapf(err, "publish; is the fake platform at %s running", o.Addr)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, oops.Wrapf(err, "read the response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, oops.Errorf("the fake platform rejected the request: %s", bytes.TrimSpace(reply))
	}
	var published crplatform.Published
	if err := json.Unmarshal(reply, &published); err != nil {
		return nil, oops.Wrapf(err, "read the response")
	}
	return append(rows, []string{kind, strconv.FormatUint(uint64(published.Rev), 10)}), nil
}
