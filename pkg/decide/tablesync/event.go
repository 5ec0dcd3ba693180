package tablesync

import (
	"net/netip"
	"time"

	"github.com/sesamestream/sesamestream/pkg/table"
)

// An Event is an input of a Machine.
type Event interface{ event() }

// StoreAnswered reports that the store returned Table: in answer to a read, or when a watch
// returned with a change or timed out without one.
type StoreAnswered struct{ Table table.Table }

// PeerAnnounced reports the revision in force at the peer at From, and its newest token.
type PeerAnnounced struct {
	Revision table.Revision
	From     netip.AddrPort
	Token    uint64
}

// Fetched reports that the peer at From sent its table.
type Fetched struct {
	Table table.Table
	From  netip.AddrPort
}

// FetchFailed reports that the fetch from the peer at From failed.
type FetchFailed struct{ From netip.AddrPort }

// StoreUnreachable reports that the store did not answer.
type StoreUnreachable struct{}

// WatcherChanged reports whether this process is one of the watchers of its data centre.
type WatcherChanged struct{ Watcher bool }

// Tick runs the timers that are due. It is sent at the time that Wake returns.
type Tick struct{}

func (StoreAnswered) event()    {}
func (PeerAnnounced) event()    {}
func (Fetched) event()          {}
func (FetchFailed) event()      {}
func (StoreUnreachable) event() {}
func (WatcherChanged) event()   {}
func (Tick) event()             {}

// An Action is an output of a Machine.
type Action interface{ action() }

// Fetch requests the table from the peer at From.
type Fetch struct{ From netip.AddrPort }

// Apply puts Table in force and announces its revision with Token.
type Apply struct {
	Table table.Table
	Token uint64
}

// Announce announces a newer confirmation of the revision in force.
type Announce struct {
	Revision table.Revision
	Token    uint64
}

// Refuse reports why a table was not applied. The table in force stays.
type Refuse struct {
	Revision table.Revision
	Reason   error
}

// WatchStore starts the watch of the store if On is true and stops it otherwise.
type WatchStore struct{ On bool }

// ReadStore requests one read of the store, which results in StoreAnswered or StoreUnreachable.
type ReadStore struct{}

// ReportAge reports the time since the last confirmation of the revision in force by the store
// that this process knows of.
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
