package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/peer"
)

// ErrResponse is the cause of an error that the server answered with.
var ErrResponse = errors.New("operator: refused")

// clientTimeout bounds one call.
const clientTimeout = 30 * time.Second

// A Client calls the operators' port of one process.
// Its exported fields are set before the first call.
type Client struct {
	Address netip.AddrPort
	// Token is the bearer token, empty where a certificate is shown.
	Token string
	// Keys trust the deployment's authority and may hold an operator's certificate.
	Keys *peer.Keys
}

// A ResponseError is an answer that is not a success.
type ResponseError struct {
	Status int
	ErrorAnswer
}

// Error returns what the server said.
func (r *ResponseError) Error() string { return r.ErrorAnswer.Error }

// Is reports whether target is ErrAnswer.
func (r *ResponseError) Is(target error) bool { return target == ErrResponse }

// Call sends q as JSON and decodes the answer into a; both may be nil.
// An answer that is not a success is a *Refusal.
func (c *Client) Call(ctx context.Context, method, path string, q, a any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := encode(q)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, "https://"+c.Address.String()+path, body)
	if err != nil {
		return errors.Wrap(err, "operator: call")
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: c.config(), DisableKeepAlives: true}}
	w, err := h.Do(r)
	if err != nil {
		return errors.Wrap(err, "operator: call")
	}
	defer w.Body.Close()
	return decode(w, a)
}

func (c *Client) config() *tls.Config {
	t := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: peer.PeerName, RootCAs: c.Keys.Authority}
	if len(c.Keys.Certificate.Certificate) > 0 {
		t.Certificates = []tls.Certificate{c.Keys.Certificate}
	}
	return t
}

func encode(q any) (io.Reader, error) {
	if q == nil {
		return http.NoBody, nil
	}
	b, err := json.Marshal(q)
	return bytes.NewReader(b), errors.Wrap(err, "operator: encode")
}

func decode(w *http.Response, a any) error {
	if w.StatusCode >= http.StatusBadRequest {
		f := &ResponseError{Status: w.StatusCode}
		if err := json.NewDecoder(io.LimitReader(w.Body, maxBody)).Decode(&f.ErrorAnswer); err != nil {
			f.ErrorAnswer.Error = w.Status
		}
		return f
	}
	if a == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(w.Body).Decode(a), "operator: decode answer")
}
