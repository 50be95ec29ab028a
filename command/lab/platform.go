// Package lab holds the commands of camphorlab: the stand-ins for what the
// fleet's users provide.
package lab

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"camphorroad/command/factory"
	"camphorroad/core/crid"
	"camphorroad/lab/crplatform"
)

const headerTimeout = 5 * time.Second

// PlatformOptions serves the platform's stand-in.
type PlatformOptions struct {
	Listen string `default:"127.0.0.1:7400" placeholder:"ADDR" help:"Address to listen on."`
	Dir    string `placeholder:"DIR" help:"Directory to publish at start: a bundle, instances.toml, or both."`
	From   uint64 `placeholder:"REV" help:"Begin above this revision."`
}

// NewPlatform returns the options of a stand-in.
func NewPlatform(listen, dir string) *PlatformOptions {
	return &PlatformOptions{Listen: listen, Dir: dir}
}

// Help is shown with the command's flags.
func (*PlatformOptions) Help() string {
	return `Serves published values and the list of instances, counts calls at /lab/counts,
and fails as /lab/fault is told.

EXAMPLES
  $ camphorlab platform --listen 127.0.0.1:7400 --dir bundle
  $ curl -X PUT -d '{"mode":"away"}' http://127.0.0.1:7400/lab/fault`
}

// Run serves until the context ends.
func (o *PlatformOptions) Run(ctx context.Context, f *factory.Factory) error {
	p := crplatform.New(crid.Revision(o.From))
	if err := o.load(p); err != nil {
		return err
	}
	listen := net.ListenConfig{}
	ln, err := listen.Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return oops.Wrapf(err, "listen")
	}
	fmt.Fprintf(f.ErrOut, "platform listens on %s\n", ln.Addr())
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return oops.Wrapf(err, "serve")
	}
	return nil
}

func (o *PlatformOptions) load(p *crplatform.Platform) error {
	if o.Dir == "" {
		return nil
	}
	instances, ok, err := crplatform.ReadInstances(o.Dir)
	if err != nil {
		return oops.Wrapf(err, "read the instances")
	}
	if ok {
		p.SetInstances(instances)
	}
	up, ok, err := crplatform.ReadUpload(o.Dir)
	if err != nil {
		return oops.Wrapf(err, "read the bundle")
	}
	if !ok {
		return nil
	}
	_, err = p.Publish(up.Manifest, up.Values)
	return oops.Wrapf(err, "publish the bundle")
}
