package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/store"
	"github.com/sesamestream/sesamestream/internal/tables"
	"github.com/sesamestream/sesamestream/pkg/fleet"
	"github.com/sesamestream/sesamestream/pkg/table"
)

// Paths of the table.
const (
	PathTable        = "/v1/table"
	PathTableHistory = "/v1/table/history"
)

// A TableEdit is the body of a request for a new version of the table, based on revision Base.
type TableEdit struct {
	Base  table.Revision `json:"base"`
	Table table.Table    `json:"table"`
	By    string         `json:"by"`
}

// A TableSource holds the table in force and receives accepted versions.
type TableSource interface {
	// TableInForce returns the table in force, or nil if there is none yet.
	TableInForce() *table.Table
	// ApplyAccepted passes on a version that the store has accepted.
	ApplyAccepted(t table.Table)
}

// HandleTables registers the queries and commands for the table.
func (s *Server) HandleTables(x *tables.Tables, in TableSource) {
	s.Handle("GET "+PathTable, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("source") == "store" {
			replyStoredTable(r.Context(), w, x)
			return
		}
		t := in.TableInForce()
		if t == nil {
			ReplyError(w, http.StatusNotFound, tables.ErrNoTable)
			return
		}
		Reply(w, http.StatusOK, t)
	})
	s.Handle("GET "+PathTableHistory, func(w http.ResponseWriter, r *http.Request) {
		h, err := x.History(r.Context())
		if err != nil {
			replyStoreError(w, err)
			return
		}
		Reply(w, http.StatusOK, h)
	})
	s.Handle("POST "+PathTable, func(w http.ResponseWriter, r *http.Request) {
		var e TableEdit
		if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
			ReplyError(w, http.StatusBadRequest, err)
			return
		}
		v, err := x.Accept(r.Context(), e.Base, e.Table, e.By)
		if err != nil {
			replyStoreError(w, err)
			return
		}
		in.ApplyAccepted(v.Table)
		Reply(w, http.StatusOK, v)
	})
}

func replyStoredTable(ctx context.Context, w http.ResponseWriter, x *tables.Tables) {
	v, err := x.Current(ctx)
	switch {
	case errors.Is(err, tables.ErrNoTable):
		Reply(w, http.StatusOK, table.Table{})
	case err != nil:
		replyStoreError(w, err)
	default:
		Reply(w, http.StatusOK, v.Table)
	}
}

// replyStoreError writes the error of a call that needs the store. The outcome is Unknown if the call
// may have taken effect, and NotRun otherwise.
func replyStoreError(w http.ResponseWriter, err error) {
	a := ErrorAnswer{Error: err.Error(), Outcome: string(fleet.NotRun)}
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &a.Conflict):
		status = http.StatusConflict
	case errors.Is(err, table.ErrInvalid):
		status = http.StatusUnprocessableEntity
	case errors.Is(err, store.ErrUnknown):
		status = http.StatusGatewayTimeout
		a.Outcome = string(fleet.Unknown)
	}
	Reply(w, status, a)
}
