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
	// MinTTL is the shortest time to live that Consul grants a session.
	MinTTL = 10 * time.Second
	// lockDelay is zero as the journals fence by position, so a key may be taken at once.
	lockDelay = 0 * time.Second
)

// Grant creates a session that depends on its time to live only.
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
	a, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/session/create", body: b, write: true})
	if err != nil {
		return "", err
	}
	var s SessionResponse
	if err := decode(a, &s, true); err != nil {
		return "", err
	}
	if s.ID == "" {
		return "", errors.WithMessage(store.ErrUnknown, "session without id")
	}
	return store.LeaseID(s.ID), nil
}

// Renew prolongs the session l.
func (c *Client) Renew(ctx context.Context, l store.LeaseID) error {
	a, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/session/renew/" + string(l), write: true})
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
	_, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/session/destroy/" + string(l), write: true})
	return err
}
