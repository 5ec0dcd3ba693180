package store

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The bounds of the pauses between retries, before jitter.
const (
	InitialBackOff = 20 * time.Millisecond
	MaxBackOff     = 2 * time.Second
)

// NewBackOff returns pauses that double from FirstPause to LastPause with full jitter.
func NewBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     InitialBackOff,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         MaxBackOff,
	}
}
