package consul_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/sesamestream/sesamestream/internal/consul"
)

// A fixedResponse is a transport that answers all requests with the same body.
type fixedResponse []byte

func (a fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(a))}, nil
}

// FuzzAnswer guards against a write being reported as successful without its result in the response.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`[{"Key":"k","Value":"dg==","ModifyIndex":3}]`))
	f.Add([]byte(`{"Results":[{"KV":{"Key":"k","ModifyIndex":3}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := &consul.Client{Address: "http://store", HTTP: &http.Client{Transport: fixedResponse(b)}}
		_, _ = c.List(context.Background(), "k")
		_, _ = c.Grant(context.Background(), consul.MinTTL)
		if p, ok, err := c.CAS(context.Background(), "k", nil, 0); ok && (err != nil || p.Key != "k") {
			t.Fatal("a write succeeded without its result in the response")
		}
	})
}
