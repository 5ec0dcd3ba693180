package operator

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// PathWorkers is the path under which workers are listed and drained.
const PathWorkers = "/v1/workers"

// ErrNoWorker is returned for an unknown host.
var ErrNoWorker = errors.New("operator: no such host is known here")

// A WorkerState is the state of a host's worker as operators read it.
type WorkerState struct {
	ID       fleet.ID        `json:"id"`
	Place    fleet.Place     `json:"place"`
	Total    fleet.Resources `json:"total"`
	Free     fleet.Resources `json:"free"`
	Tasks    int             `json:"tasks"`
	Draining bool            `json:"draining"`
	// Error is the reason why the host's agent did not answer.
	Error string `json:"error,omitempty"`
}

// A WorkerService forwards operators' calls to the agents of hosts.
type WorkerService interface {
	// ListWorkers returns the state of the workers of all known hosts.
	ListWorkers(ctx context.Context) []WorkerState
	// SetWorkerDraining orders a host to move its tasks away, or to accept tasks again.
	SetWorkerDraining(ctx context.Context, id fleet.ID, draining bool) error
}

// HandleWorkers registers the queries and commands for workers.
func (s *Server) HandleWorkers(x WorkerService) {
	s.Handle("GET "+PathWorkers, func(w http.ResponseWriter, r *http.Request) {
		Reply(w, http.StatusOK, x.ListWorkers(r.Context()))
	})
	s.Handle("POST "+PathWorkers+"/{id}/drain", drainHandler(x, true))
	s.Handle("POST "+PathWorkers+"/{id}/undrain", drainHandler(x, false))
}

func drainHandler(x WorkerService, draining bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := x.SetWorkerDraining(r.Context(), fleet.ID(r.PathValue("id")), draining)
		switch {
		case errors.Is(err, ErrNoWorker):
			ReplyError(w, http.StatusNotFound, err)
		case err != nil:
			ReplyError(w, http.StatusBadGateway, err)
		default:
			Reply(w, http.StatusOK, struct{}{})
		}
	}
}
