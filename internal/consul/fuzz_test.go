package consul_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/sesamestream/sesamestream/internal/consul"
)

// An answer is a transport that answers all calls alike.
type answer []byte

func (a answer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(a))}, nil
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`[{"Key":"k","Value":"dg==","ModifyIndex":3}]`))
	f.Add([]byte(`{"Results":[{"KV":{"Key":"k","ModifyIndex":3}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := &consul.Client{Address: "http://store", HTTP: &http.Client{Transport: answer(b)}}
		_, _ = c.List(context.Background(), "k")
		_, _ = c.Grant(context.Background(), consul.MinTTL)
		if p, ok, err := c.CAS(context.Background(), "k", nil, 0); ok && (err != nil || p.Key != "k") {
			t.Fatal("a write was taken as done without its result")
		}
	})
}
