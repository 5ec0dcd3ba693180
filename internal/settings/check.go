package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/phuslu/log"

	"github.com/sesamestream/sesamestream/pkg/document"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The bounds of settings.
const (
	maxShards    = 256
	minLease     = 2 * time.Second
	maxLease     = time.Hour
	maxRide      = 48 * time.Hour
	maxBodyBound = 1 << 30
	// minMemory is in bytes.
	minMemory = 32 << 20
)

// Violations returns every rule that s breaks.
func (s *Settings) Violations() []document.Violation {
	c := &checker{}
	c.that(s.Role == fleet.RoleEntry || s.Role == fleet.RoleAgent, "$.role", "must be entry or agent")
	c.that(s.ID != "" && len(s.ID) <= 63, "$.id", "must be 1 to 63 characters")
	c.that(s.Place.Check() == nil, "$.place", "needs region and dataCentre")
	c.listen("$.peer.listen", s.Peer.Listen)
	c.listen("$.operator.listen", s.Operator.Listen)
	c.that(!s.Peer.Listen.Addr().IsUnspecified(), "$.peer.listen", "must be an address that peers can reach, not 0.0.0.0 or ::")
	c.that(s.Operator.TokenFile != "", "$.operator.tokenFile", "is needed")
	s.checkRole(c)
	s.checkStore(c)
	s.checkTasks(c)
	s.checkKeys(c)
	for _, a := range s.Seeds {
		c.that(a.IsValid() && a.Port() != 0, "$.seeds", "holds an impossible address")
	}
	c.that(s.MemoryLimit >= minMemory, "$.memoryLimit", "must be at least 32 MiB, in bytes")
	c.that(log.ParseLevel(s.Log) != log.Level(0) && log.ParseLevel(s.Log) <= log.PanicLevel, "$.log", "must be trace, debug, info, warn or error")
	return c.faults
}

func (s *Settings) checkRole(c *checker) {
	if s.Role == fleet.RoleEntry {
		c.listen("$.caller.listen", s.Caller.Listen)
		c.that(s.Caller.MaxBody > 0 && s.Caller.MaxBody <= maxBodyBound, "$.caller.maxBody", "must be above 0 and at most 1 GiB")
		c.that(s.Caller.MaxHeader > 0 && s.Caller.MaxHeader <= 1<<20, "$.caller.maxHeader", "must be above 0 and at most 1 MiB")
		c.that(s.Caller.HeaderTimeout > 0, "$.caller.headerTimeout", "must be above 0")
	}
	if s.Role == fleet.RoleAgent {
		c.listen("$.host.listen", s.Host.Listen)
	}
	c.that(s.Caller.Drain > 0, "$.caller.drain", "must be above 0")
}

func (s *Settings) checkStore(c *checker) {
	u, err := url.Parse(s.Store.Address)
	c.that(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "$.store.address", "must be an http or https URL")
	c.that(s.Store.Writes > 0, "$.store.writes", "must be above 0")
	c.that(s.Store.Reads > 0, "$.store.reads", "must be above 0")
	c.that(s.Store.Timeout > 0, "$.store.timeout", "must be above 0")
}

func (s *Settings) checkTasks(c *checker) {
	c.that(s.Tasks.Lease >= minLease && s.Tasks.Lease <= maxLease, "$.tasks.lease", "must be between 2s and 1h")
	c.that(s.Tasks.RideThrough >= s.Tasks.Lease && s.Tasks.RideThrough <= maxRide, "$.tasks.rideThrough", "must be between the lease and 48h")
	c.that(s.Tasks.Shards > 0 && s.Tasks.Shards <= maxShards, "$.tasks.shards", "must be between 1 and 256")
}

func (s *Settings) checkKeys(c *checker) {
	c.that(s.Keys.CA != "", "$.keys.ca", "is needed")
	c.that(s.Keys.Certificate != "", "$.keys.certificate", "is needed")
	c.that(s.Keys.Key != "", "$.keys.key", "is needed")
	c.that(s.Keys.Gossip != "", "$.keys.gossip", "is needed")
}

// A checker gathers faults.
type checker struct {
	faults []document.Violation
}

func (c *checker) that(ok bool, path, message string) {
	if !ok {
		c.faults = append(c.faults, document.Violation{Path: path, Message: message})
	}
}

func (c *checker) listen(path string, a netip.AddrPort) {
	c.that(a.IsValid(), path, "must be an address such as 127.0.0.1:7001")
	c.that(!a.IsValid() || a.Port() != 0, path, "needs a port")
	c.that(!a.IsValid() || !a.Addr().IsMulticast(), path, "must not be a multicast address")
}
