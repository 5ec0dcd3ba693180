package consul

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/store"
)

const (
	// MinTTL is the shortest time to live of a session that Consul accepts.
	MinTTL = 10 * time.Second
	// lockDelay is zero, so that a key can be locked again at once after its session ends. This is safe
	// because the journals fence stale writers by position.
	lockDelay = 0 * time.Second
)

// Grant creates a session that depends only on its time to live.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	b, err := json.Marshal(SessionRequest{
		TTL:        max(ttl, MinTTL).String(),
		LockDelay:  lockDelay.String(),
		Behavior:   "release",
		NodeChecks: []string{},
	})
	if err != nil {
		return "", errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	a, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/session/create", body: b, isWrite: true})
	if err != nil {
		return "", err
	}
	var s SessionResponse
	if err := decodeResponse(a, &s, true); err != nil {
		return "", err
	}
	if s.ID == "" {
		return "", errors.WithMessage(store.ErrUnknown, "session response without ID")
	}
	return store.LeaseID(s.ID), nil
}

// Renew renews the session l.
func (c *Client) Renew(ctx context.Context, l store.LeaseID) error {
	a, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/session/renew/" + string(l), isWrite: true})
	if err != nil {
		return err
	}
	if a.status == http.StatusNotFound {
		return store.ErrLeaseLapsed
	}
	return nil
}

// Revoke destroys the session l.
func (c *Client) Revoke(ctx context.Context, l store.LeaseID) error {
	_, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/session/destroy/" + string(l), isWrite: true})
	return err
}
