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

// ErrResponse matches every error that the server answered with.
var ErrResponse = errors.New("operator: error response")

// clientTimeout bounds one call.
const clientTimeout = 30 * time.Second

// A Client calls the operators' port of one process.
// The exported fields are set before the first call.
type Client struct {
	Address netip.AddrPort
	// Token is the bearer token; it is empty if the client presents a certificate.
	Token string
	// Keys hold the deployment's certificate authority and may hold an operator's certificate.
	Keys *peer.Keys
}

// A ResponseError is an answer with an error status.
type ResponseError struct {
	Status int
	ErrorAnswer
}

// Error returns the error message of the server.
func (r *ResponseError) Error() string { return r.ErrorAnswer.Error }

// Is reports whether target is ErrResponse.
func (r *ResponseError) Is(target error) bool { return target == ErrResponse }

// Call sends q as JSON and decodes the answer into a; both may be nil.
// An answer with an error status is returned as a *ResponseError.
func (c *Client) Call(ctx context.Context, method, path string, q, a any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := encodeRequest(q)
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
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: c.tlsConfig(), DisableKeepAlives: true}}
	w, err := h.Do(r)
	if err != nil {
		return errors.Wrap(err, "operator: call")
	}
	defer w.Body.Close()
	return decodeResponse(w, a)
}

func (c *Client) tlsConfig() *tls.Config {
	t := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: peer.PeerName, RootCAs: c.Keys.Authority}
	if len(c.Keys.Certificate.Certificate) > 0 {
		t.Certificates = []tls.Certificate{c.Keys.Certificate}
	}
	return t
}

func encodeRequest(q any) (io.Reader, error) {
	if q == nil {
		return http.NoBody, nil
	}
	b, err := json.Marshal(q)
	return bytes.NewReader(b), errors.Wrap(err, "operator: encode")
}

func decodeResponse(w *http.Response, a any) error {
	if w.StatusCode >= http.StatusBadRequest {
		f := &ResponseError{Status: w.StatusCode}
		if err := json.NewDecoder(io.LimitReader(w.Body, maxBodyBytes)).Decode(&f.ErrorAnswer); err != nil {
			f.ErrorAnswer.Error = w.Status
		}
		return f
	}
	if a == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(w.Body).Decode(a), "operator: decode answer")
}
