package operator

import (
	"context"
	"net/http"

	"github.com/sesamestream/sesamestream/internal/message"
)

// PathStatus is the path of the status of the fleet.
const PathStatus = "/v1/status"

// A StatusReporter returns the status of processes.
type StatusReporter interface {
	// FleetStatus returns the status of all known processes.
	FleetStatus(ctx context.Context) []message.Status
	// Status returns the status of this process.
	Status() message.Status
}

// HandleStatus registers the query for the status of the fleet.
func (s *Server) HandleStatus(x StatusReporter) {
	s.Handle("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("only") == "self" {
			Reply(w, http.StatusOK, []message.Status{x.Status()})
			return
		}
		Reply(w, http.StatusOK, x.FleetStatus(r.Context()))
	})
}
