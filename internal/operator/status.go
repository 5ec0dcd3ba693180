package operator

import (
	"context"
	"net/http"

	"github.com/sesamestream/sesamestream/internal/message"
)

// PathStatus is where the state of the fleet is read.
const PathStatus = "/v1/status"

// StatusReporter tells how processes are.
type StatusReporter interface {
	// FleetStatus asks all processes known here.
	FleetStatus(ctx context.Context) []message.Status
	// Status returns how this process is.
	Status() message.Status
}

// HandleStatus registers the queries of the fleet's state.
func (s *Server) HandleStatus(x StatusReporter) {
	s.Handle("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("only") == "self" {
			Reply(w, http.StatusOK, []message.Status{x.Status()})
			return
		}
		Reply(w, http.StatusOK, x.FleetStatus(r.Context()))
	})
}
