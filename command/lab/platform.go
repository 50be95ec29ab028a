// Package lab holds the commands of camphorlab, which cmd/camphorlab runs. They serve
// fakes of the users' platform, store and upstreams, and run load, measurements,
// simulations and fault tests. The packages below lab/ implement them.
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

// PlatformOptions are the options of `platform`.
type PlatformOptions struct {
	Listen string `default:"127.0.0.1:7400" placeholder:"ADDR" help:"Address to listen on."`
	Dir    string `placeholder:"DIR" help:"Directory to publish at start: a bundle, instances.toml, or both."`
	From   uint64 `placeholder:"REV" help:"The first publication gets the next revision after REV."`
}

// NewPlatform returns the options for an address and a directory.
func NewPlatform(listen, dir string) *PlatformOptions {
	return &PlatformOptions{Listen: listen, Dir: dir}
}

// Help is shown with the command's flags.
func (*PlatformOptions) Help() string {
	return `Serves the published values and the list of instances. /lab/counts returns the
number of calls, and a PUT to /lab/fault sets the fault to simulate.

EXAMPLES
  $ camphorlab platform --listen 127.0.0.1:7400 --dir bundle
  $ curl -X PUT -d '{"mode":"away"}' http://127.0.0.1:7400/lab/fault`
}

// Run serves until the context ends.
func (o *PlatformOptions) Run(ctx context.Context, f *factory.Factory) error {
	p := crplatform.New(crid.Revision(o.From))
	if err := o.publishDir(p); err != nil {
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

func (o *PlatformOptions) publishDir(p *crplatform.Platform) error {
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
	upload, ok, err := crplatform.ReadUpload(o.Dir)
	if err != nil {
		return oops.Wrapf(err, "read the bundle")
	}
	if !ok {
		return nil
	}
	_, err = p.Publish(upload.Manifest, upload.Values)
	return oops.Wrapf(err, "publish the bundle")
}
