package standin

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// RoundTrip serves a request without a network, so that a Server can be the transport of an http.Client.
func (s *Server) RoundTrip(r *http.Request) (*http.Response, error) {
	done := make(chan *http.Response, 1)
	go func() {
		defer close(done)
		defer func() {
			v := recover()
			if err, ok := v.(error); v != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
				panic(v)
			}
		}()
		w := &responseRecorder{header: http.Header{}, status: http.StatusOK}
		s.ServeHTTP(w, r)
		done <- &http.Response{
			StatusCode: w.status, Header: w.header, Body: io.NopCloser(&w.body), Request: r,
		}
	}()
	select {
	case p, ok := <-done:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return p, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// A responseRecorder is an http.ResponseWriter that keeps the response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *responseRecorder) Header() http.Header         { return w.header }
func (w *responseRecorder) Write(b []byte) (int, error) { return w.body.Write(b) }
func (w *responseRecorder) WriteHeader(status int)      { w.status = status }
