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

const maxReply = 64 << 10 // bytes of the stand-in's answer

// PublishOptions publishes a directory on the platform's stand-in.
type PublishOptions struct {
	Addr string `default:"127.0.0.1:7400" placeholder:"ADDR" help:"Address of the stand-in."`
	Dir  string `required:"" placeholder:"DIR" help:"Directory with a bundle, instances.toml, or both."`
}

// NewPublish returns the options of a publication.
func NewPublish(addr, dir string) *PublishOptions { return &PublishOptions{Addr: addr, Dir: dir} }

// Help is shown with the command's flags.
func (*PublishOptions) Help() string {
	return `Publishes the bundle that policy build wrote, in one step, and the list of instances.

EXAMPLES
  $ camphorlab publish --addr 127.0.0.1:7400 --dir bundle`
}

// Run publishes what the directory holds and writes the revisions.
func (o *PublishOptions) Run(ctx context.Context, f *factory.Factory) error {
	instances, hasList, err := crplatform.ReadInstances(o.Dir)
	if err != nil {
		return oops.Wrapf(err, "read the instances")
	}
	up, hasBundle, err := crplatform.ReadUpload(o.Dir)
	if err != nil {
		return oops.Wrapf(err, "read the bundle")
	}
	if !hasList && !hasBundle {
		return fmt.Errorf("%w: %s holds neither a bundle nor instances.toml", factory.ErrUsage, o.Dir)
	}
	var rows [][]string
	if hasList {
		if rows, err = o.put(ctx, rows, http.MethodPut, "instances", instances); err != nil {
			return err
		}
	}
	if hasBundle {
		if rows, err = o.put(ctx, rows, http.MethodPost, "publish", up); err != nil {
			return err
		}
	}
	return f.Table([]string{"WHAT", "REVISION"}, rows)
}

func (o *PublishOptions) put(ctx context.Context, rows [][]string, method, what string, v any) ([][]string, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, oops.Wrapf(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.Addr+"/lab/"+what, bytes.NewReader(body))
	if err != nil {
		return nil, oops.Wrapf(err, "make the request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, oops.Wrapf(err, "publish; is the stand-in at %s running", o.Addr)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, oops.Wrapf(err, "read the answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, oops.Errorf("the stand-in refused: %s", bytes.TrimSpace(answer))
	}
	var done crplatform.Published
	if err := json.Unmarshal(answer, &done); err != nil {
		return nil, oops.Wrapf(err, "read the answer")
	}
	return append(rows, []string{what, strconv.FormatUint(uint64(done.Rev), 10)}), nil
}
