package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/target"
	"github.com/sesamestream/sesamestream/internal/worker"
)

// The bounds of the host's port.
const (
	hostHeaderTimeout = 5 * time.Second
	// maxAnnouncement is in bytes.
	maxAnnouncement = 4 << 20
)

// serveHost takes the announcements of the host's targets and worker.
func (a *Agent) serveHost(ctx context.Context) error {
	l, err := net.Listen("tcp", a.HostAddress.String())
	if err != nil {
		return errors.Wrap(err, "agent: listen for the host")
	}
	m := http.NewServeMux()
	m.HandleFunc("POST "+target.PathTargets, a.announceTarget)
	m.HandleFunc("POST "+worker.PathWorkers, a.announceWorker)
	h := &http.Server{Handler: m, ReadHeaderTimeout: hostHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = h.Close()
	}()
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "agent: serve the host")
	}
	return nil
}

func (a *Agent) announceTarget(w http.ResponseWriter, r *http.Request) {
	var t target.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.targets.Announce(time.Now(), t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (a *Agent) announceWorker(w http.ResponseWriter, r *http.Request) {
	var x worker.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := a.tasks.announced(r.Context(), x)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
