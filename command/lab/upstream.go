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
	"camphorroad/lab/crupstream"
)

// UpstreamOptions are the options of `upstream`.
type UpstreamOptions struct {
	Name    string        `required:"" placeholder:"NAME" help:"Name of the target."`
	Listen  string        `default:"127.0.0.1:0" placeholder:"ADDR" help:"Address to listen on."`
	Slots   int           `default:"5" help:"Requests that run concurrently."`
	Queue   int           `default:"10" help:"Requests that wait before more are shed."`
	Service time.Duration `default:"5ms" help:"Service time of a request."`
	Cold    time.Duration `default:"0s" help:"Warm-up time after the start."`
}

// Help is shown with the command's flags.
func (*UpstreamOptions) Help() string {
	return `Serves /health, /load and /probe, and any other path with a JSON response.
/lab/runs reports the requests that ran, and /lab/fault sets the fault
to simulate.

EXAMPLES
  $ camphorlab upstream --name booking-1 --listen 127.0.0.1:9101
  $ curl -d '{"kind":"slow","factor":20}' http://127.0.0.1:9101/lab/fault`
}

// Run serves until the context ends.
func (o *UpstreamOptions) Run(ctx context.Context, f *factory.Factory) error {
	listen := net.ListenConfig{}
	ln, err := listen.Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return oops.Wrapf(err, "listen")
	}
	fmt.Fprintf(f.ErrOut, "upstream %s listens on %s\n", o.Name, ln.Addr())
	upstream := crupstream.New(crupstream.Options{Name: o.Name, Slots: o.Slots, Queue: o.Queue, ServiceTime: o.Service, Warmup: o.Cold})
	server := &http.Server{Handler: upstream, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return oops.Wrapf(err, "serve")
	}
	return nil
}
