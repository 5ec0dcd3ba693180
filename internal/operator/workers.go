package operator

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// PathWorkers is where workers are listed and drained.
const PathWorkers = "/v1/workers"

// ErrNoWorker is returned for a host that is not known.
var ErrNoWorker = errors.New("operator: no such host is known here")

// A Worker is a host's worker as operators read it.
type Worker struct {
	ID       fleet.ID        `json:"id"`
	Place    fleet.Place     `json:"place"`
	Total    fleet.Resources `json:"total"`
	Free     fleet.Resources `json:"free"`
	Tasks    int             `json:"tasks"`
	Draining bool            `json:"draining"`
	// Error says why the host's agent did not answer.
	Error string `json:"error,omitempty"`
}

// Workers carries operators' calls to the agents of hosts.
type Workers interface {
	// Workers returns the hosts that are known here.
	Workers(ctx context.Context) []Worker
	// DrainWorker moves the tasks of a host away, or takes tasks again.
	DrainWorker(ctx context.Context, id fleet.ID, draining bool) error
}

// HandleWorkers registers the queries and commands of workers.
func (s *Server) HandleWorkers(x Workers) {
	s.Handle("GET "+PathWorkers, func(w http.ResponseWriter, r *http.Request) {
		Reply(w, http.StatusOK, x.Workers(r.Context()))
	})
	s.Handle("POST "+PathWorkers+"/{id}/drain", drain(x, true))
	s.Handle("POST "+PathWorkers+"/{id}/undrain", drain(x, false))
}

func drain(x Workers, draining bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := x.DrainWorker(r.Context(), fleet.ID(r.PathValue("id")), draining)
		switch {
		case errors.Is(err, ErrNoWorker):
			Fail(w, http.StatusNotFound, err)
		case err != nil:
			Fail(w, http.StatusBadGateway, err)
		default:
			Reply(w, http.StatusOK, struct{}{})
		}
	}
}
