package store

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// The bounds of the pauses between retries, before jitter.
const (
	FirstPause = 20 * time.Millisecond
	LastPause  = 2 * time.Second
)

// NewBackOff returns pauses that double from FirstPause to LastPause with full jitter.
func NewBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     FirstPause,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         LastPause,
	}
}
