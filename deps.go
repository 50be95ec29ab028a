//go:build deps

// Package camphorroad keeps the modules that parts under way will import in
// go.mod; it goes when the last of them is imported for real.
package camphorroad

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/gin-gonic/gin"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/samber/oops"
	_ "github.com/sirupsen/logrus"
	_ "go.uber.org/fx"
	_ "go.uber.org/goleak"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
