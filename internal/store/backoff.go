package store

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// InitialBackOff and MaxBackOff bound the delay between retries, before jitter.
const (
	InitialBackOff = 20 * time.Millisecond
	MaxBackOff     = 2 * time.Second
)

// NewBackOff returns an exponential backoff from InitialBackOff to MaxBackOff with full jitter.
func NewBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     InitialBackOff,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         MaxBackOff,
	}
}
