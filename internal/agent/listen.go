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

// Limits of the requests with which targets and workers announce themselves.
const (
	announcementHeaderTimeout = 5 * time.Second
	maxAnnouncementBytes      = 4 << 20
)

// serveAnnouncements serves the announcements of the host's targets and worker until ctx ends.
func (a *Agent) serveAnnouncements(ctx context.Context) error {
	l, err := net.Listen("tcp", a.HostAddress.String())
	if err != nil {
		return errors.Wrap(err, "agent: listen for announcements")
	}
	m := http.NewServeMux()
	m.HandleFunc("POST "+target.PathTargets, a.handleTargetAnnouncement)
	m.HandleFunc("POST "+worker.PathWorkers, a.handleWorkerAnnouncement)
	h := &http.Server{Handler: m, ReadHeaderTimeout: announcementHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = h.Close()
	}()
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "agent: serve announcements")
	}
	return nil
}

func (a *Agent) handleTargetAnnouncement(w http.ResponseWriter, r *http.Request) {
	var t target.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.targets.Announce(time.Now(), t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if t.Leaving {
		// A target closes its idle connections once its departure is acknowledged. A
		// request for which it was chosen before may still have to be sent on one.
		c, cancel := context.WithTimeout(r.Context(), target.MaxLeaveWait)
		defer cancel()
		a.targets.AwaitIdle(c, t.ID)
	}
}

func (a *Agent) handleWorkerAnnouncement(w http.ResponseWriter, r *http.Request) {
	var x worker.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := a.tasks.handleAnnouncement(r.Context(), x)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
