package node

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamestream/sesamestream/internal/intake"
	"github.com/sesamestream/sesamestream/internal/link"
)

// Processes send their hello as they connect, but after a takeover hundreds of them connect within a
// second, before a slow machine has read the first hello.
const (
	// maxSlowStrangers bounds the connections on which no hello has arrived for minStrangerAge.
	maxSlowStrangers = 256
	minStrangerAge   = time.Second
	// maxStrangers bounds the connections on which no hello has arrived.
	maxStrangers = 1024
)

// A stranger is a connection on which no hello has arrived.
type stranger struct {
	conn  *link.Conn
	since time.Time
}

// An acceptor bounds the connections that other processes, or strangers, have opened.
type acceptor struct {
	// maxConns bounds all connections; 0 is no bound.
	maxConns int
	onLimit  func(intake.Reason)
	// open is set to the number of connections.
	open *atomic.Int64

	mu sync.Mutex
	// conns holds the connections, with their place among the strangers or nil.
	conns map[*link.Conn]*list.Element
	// strangers holds the connections without a hello, the oldest first.
	strangers list.List
}

// add reports whether a connection may be served. The oldest connection without a hello is
// closed for it if necessary.
func (a *acceptor) add(c *link.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns = map[*link.Conn]*list.Element{}
	}
	now := time.Now()
	full := a.maxConns > 0 && len(a.conns) >= a.maxConns
	oldest := a.strangers.Front()
	slow := a.strangers.Len() >= maxSlowStrangers && now.Sub(oldest.Value.(stranger).since) > minStrangerAge
	if full || slow || a.strangers.Len() >= maxStrangers {
		reason := intake.ReasonStrangers
		if full {
			reason = intake.ReasonLinks
		}
		if a.onLimit != nil {
			a.onLimit(reason)
		}
		if oldest == nil {
			c.Close()
			return false
		}
		v := oldest.Value.(stranger).conn
		a.strangers.Remove(oldest)
		delete(a.conns, v)
		v.Close()
	}
	a.conns[c] = a.strangers.PushBack(stranger{c, now})
	a.open.Store(int64(len(a.conns)))
	return true
}

// opened notes that a hello has arrived.
func (a *acceptor) opened(c *link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.conns[c]; e != nil {
		a.strangers.Remove(e)
		a.conns[c] = nil
	}
}

// remove notes that a connection has ended.
func (a *acceptor) remove(c *link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.conns[c]; e != nil {
		a.strangers.Remove(e)
	}
	delete(a.conns, c)
	a.open.Store(int64(len(a.conns)))
}
