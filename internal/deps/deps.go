//go:build deps

// Package deps keeps the chosen libraries in go.mod until code imports them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/asynkron/protoactor-go/actor"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/btree"
	_ "github.com/google/uuid"
	_ "github.com/oklog/run"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/phuslu/log"
	_ "github.com/pkg/errors"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/sony/gobreaker/v2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
