package tablesync

import (
	"net/netip"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// An Event goes into a Machine.
type Event interface{ event() }

// StoreAnswered tells that the store answered with Table, by a read, a watch that returned, or
// a watch that timed out without a change.
type StoreAnswered struct{ Table table.Table }

// PeerAnnounced tells that the peer at From has a revision in force, and its newest token.
type PeerAnnounced struct {
	Revision table.Revision
	From     netip.AddrPort
	Token    uint64
}

// Fetched tells that the peer at From sent its table.
type Fetched struct {
	Table table.Table
	From  netip.AddrPort
}

// FetchFailed tells that the peer at From sent no table.
type FetchFailed struct{ From netip.AddrPort }

// StoreUnreachable tells that the store did not answer.
type StoreUnreachable struct{}

// WatcherChanged tells whether this process is one of the watchers of its data centre.
type WatcherChanged struct{ Watcher bool }

// Tick lets time pass; it is due when Wake says.
type Tick struct{}

func (StoreAnswered) event()    {}
func (PeerAnnounced) event()    {}
func (Fetched) event()          {}
func (FetchFailed) event()      {}
func (StoreUnreachable) event() {}
func (WatcherChanged) event()   {}
func (Tick) event()             {}

// An Action comes out of a Machine.
type Action interface{ action() }

// Fetch asks to fetch the table from the peer at From.
type Fetch struct{ From netip.AddrPort }

// Apply asks to put Table in force, and to announce its revision with Token.
type Apply struct {
	Table table.Table
	Token uint64
}

// Announce asks to announce a newer confirmation of the revision in force.
type Announce struct {
	Revision table.Revision
	Token    uint64
}

// Refuse tells why a table was not applied; the one in force stays.
type Refuse struct {
	Revision table.Revision
	Reason   error
}

// WatchStore asks to begin or to end a watch of the store.
type WatchStore struct{ On bool }

// ReadStore asks for one read of the store, which ends in Loaded or StoreUnreachable.
type ReadStore struct{}

// ReportAge tells how long ago the store confirmed the revision in force, as far as is known here.
type ReportAge struct {
	State    State
	Revision table.Revision
	Age      time.Duration
}

func (Fetch) action()      {}
func (Apply) action()      {}
func (Announce) action()   {}
func (Refuse) action()     {}
func (WatchStore) action() {}
func (ReadStore) action()  {}
func (ReportAge) action()  {}
