// Package cradmin provides the HTTP handler of a daemon's admin endpoints: /ready,
// /state and /metrics. Both kinds of daemon, io/crdaemon and io/crmesh, serve it.
// It has no authentication, so it must listen on the operators' network only.
//
// # Usage
//
//	h := cradmin.New(cradmin.Options{Ready: ready, State: dump, Metrics: registry})
//	err := http.Serve(ln, h)
package cradmin

import (
	"context"
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"
)

// ErrUnknownPart reports that the state has no part of the requested name.
var ErrUnknownPart = errors.New("no such part of the state")

// Options configure the admin endpoints.
type Options struct {
	Ready func() error // returns nil if the daemon is ready, or the reason why not
	// State returns the state dump, or only the named part if part is not empty. Its
	// error matches ErrUnknownPart if there is no part of that name.
	State   func(ctx context.Context, part string) (any, error)
	Metrics metrics.Registry
}

// New returns the handler of the admin endpoints.
func New(opts Options) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	router.GET("/ready", func(c *gin.Context) { serveReady(c, opts.Ready) })
	router.GET("/state", func(c *gin.Context) { serveState(c, opts.State) })
	router.GET("/metrics", func(c *gin.Context) { serveMetrics(c, opts.Metrics) })
	return router
}

func serveReady(c *gin.Context, check func() error) {
	if err := check(); err != nil {
		c.JSON(http.StatusServiceUnavailable, gin.H{"ready": false, "reason": err.Error()})
		return
	}
	c.JSON(http.StatusOK, gin.H{"ready": true})
}

func serveState(c *gin.Context, dump func(ctx context.Context, part string) (any, error)) {
	v, err := dump(c.Request.Context(), c.Query("part"))
	if errors.Is(err, ErrUnknownPart) {
		c.JSON(http.StatusNotFound, gin.H{"error": err.Error()})
		return
	}
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, gin.H{"error": err.Error()})
		return
	}
	c.IndentedJSON(http.StatusOK, v)
}
