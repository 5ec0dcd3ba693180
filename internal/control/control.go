// Package control puts the parts of one process together: its node, and the
// gateway or the host agent. What the deployment speaks is given to it.
package control

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestream/sesamestream/internal/dispatch"
	"github.com/sesamestream/sesamestream/internal/election"
	"github.com/sesamestream/sesamestream/internal/eventlog"
	"github.com/sesamestream/sesamestream/internal/gateway"
	"github.com/sesamestream/sesamestream/internal/hostagent"
	"github.com/sesamestream/sesamestream/internal/kv"
	"github.com/sesamestream/sesamestream/internal/link"
	"github.com/sesamestream/sesamestream/internal/node"
	"github.com/sesamestream/sesamestream/internal/telemetry"
	"github.com/sesamestream/sesamestream/pkg/batch"
	"github.com/sesamestream/sesamestream/pkg/decide/succession"
)

// LeaderTTL is the store's lease on the lead; a killed scheduler is replaced after it, so it's near the store's least.
const LeaderTTL = succession.Fresh

// A Process is one process. Its exported fields are set before Run.
type Process struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Region     string
	// Host is set where a worker runs, Entry where callers come.
	Host, Entry bool
	// Cores is the processor time that the process may use, in cores; 0 where it isn't known.
	Cores float64
	// LinkMbps is how much its link carries, in Mbit/s; 0 where it isn't known.
	LinkMbps float64
	Store    kv.Store
	Network  link.Network
	Log      *eventlog.Log
	// Steady is the clock of the leases.
	Steady func() time.Duration
	// Dial returns a client for a life of a worker.
	Dial func(netip.AddrPort, batch.WorkerKey) hostagent.Worker
	// Advise asks the policy service; nil where there is none.
	Advise dispatch.Adviser
	// ConfigKey and DecodeConfig give the operators' configuration.
	ConfigKey    string
	DecodeConfig func([]byte) (batch.Config, error)
	// MaxLease is the longest lease that a worker takes.
	MaxLease time.Duration
	// LeaderTTL is the store's lease on the lead.
	LeaderTTL time.Duration
	// Keep is how long an ended job stays known.
	Keep time.Duration

	// Gateway and Agent are there after Open.
	Gateway *gateway.Gateway
	Agent   *hostagent.Agent
	node    *node.Node
}

// Open makes the parts.
func (c *Process) Open() {
	life := time.Now().UnixNano()
	c.node = &node.Node{
		Elector: &election.Elector{Store: c.Store, Node: c.Name, Address: c.Address, TTL: c.LeaderTTL},
		Log:     c.Log, Network: c.Network, Listen: c.Address, Steady: c.Steady,
		Self: succession.Process{Name: c.Name, Cores: c.Cores, LinkMbps: c.LinkMbps, Host: c.Host},
		Contact: func() time.Time {
			if c.Gateway == nil {
				return time.Time{}
			}
			return c.Gateway.Contact()
		},
		Clear: func() bool { return c.Agent != nil && c.Agent.Clear() },
		Hello: func() link.Hello {
			h := link.Hello{
				Node: c.Name, Life: life, Address: c.Address.String(), DataCentre: c.DataCentre, Region: c.Region, Host: c.Host,
				Cores: c.Cores, LinkMbps: c.LinkMbps,
			}
			if c.Agent != nil {
				h.Workers = c.Agent.Workers()
			}
			return h
		},
		Dispatcher: c.dispatcher,
		Message:    c.message,
		Welcomed: func(w link.Welcome) {
			if c.Agent != nil {
				c.Agent.Welcomed(w)
			}
		},
		Granted: func(sent, grant time.Duration) {
			if c.Agent != nil {
				c.Agent.Granted(sent, grant)
			}
		},
		Lost: func() {
			if c.Agent != nil {
				c.Agent.Lost()
			}
		},
	}
	c.node.Elector.Strongest = c.node.Strongest
	m := c.Log.Metrics
	m.Read(telemetry.Leading, func() float64 { return number(c.node.Leads()) })
	m.Read(telemetry.SessionUp, func() float64 { return number(c.node.Connected()) })
	if c.Host {
		c.Agent = &hostagent.Agent{Log: c.Log, Send: c.node.Send, Steady: c.Steady, MaxLease: c.MaxLease, Dial: c.Dial, Renew: c.node.Reconnect}
	}
	if c.Entry {
		c.Gateway = &gateway.Gateway{
			Store: c.Store, Log: c.Log, ConfigKey: c.ConfigKey, DecodeConfig: c.DecodeConfig, Send: c.node.Send,
		}
		m.Read(telemetry.StoreUp, func() float64 { return number(c.Gateway.StoreOK()) })
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (c *Process) dispatcher(t *election.Term) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Store: c.Store, Term: t, Node: c.Name, Log: c.Log, ConfigKey: c.ConfigKey, DecodeConfig: c.DecodeConfig,
		Keep: c.Keep, Advise: c.Advise,
	}
}

func (c *Process) message(m link.Message) {
	if c.Agent != nil {
		c.Agent.Message(m)
	}
	if c.Gateway != nil {
		c.Gateway.Message(m)
	}
}

// Run serves until ctx ends.
func (c *Process) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if c.Agent != nil {
		g.Go(func() error { return c.Agent.Run(ctx) })
	}
	if c.Gateway != nil {
		g.Go(func() error { return c.Gateway.Run(ctx) })
	}
	g.Go(func() error { return c.node.Run(ctx) })
	return g.Wait()
}

// Resign gives the lead up, if this process has it.
func (c *Process) Resign(ctx context.Context) { c.node.Resign(ctx) }
