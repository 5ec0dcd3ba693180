package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/phuslu/log"

	"github.com/sesamestream/sesamestream/pkg/document"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// The limits of settings.
const (
	maxShards      = 256
	minLease       = 2 * time.Second
	maxLease       = time.Hour
	maxRideThrough = 48 * time.Hour
	maxBodyLimit   = 1 << 30
	// minMemoryLimit is in bytes.
	minMemoryLimit = 32 << 20
)

// Violations returns every rule that s breaks.
func (s *Settings) Violations() []document.Violation {
	c := &settingsChecker{}
	c.require(s.Role == fleet.RoleEntry || s.Role == fleet.RoleAgent, "$.role", "must be entry or agent")
	c.require(s.ID != "" && len(s.ID) <= 63, "$.id", "must be 1 to 63 characters")
	c.require(s.Place.Check() == nil, "$.place", "needs region and dataCentre")
	c.requireListenAddress("$.peer.listen", s.Peer.Listen)
	c.requireListenAddress("$.operator.listen", s.Operator.Listen)
	c.require(!s.Peer.Listen.Addr().IsUnspecified(), "$.peer.listen", "must be an address that peers can reach, not 0.0.0.0 or ::")
	c.require(s.Operator.TokenFile != "", "$.operator.tokenFile", "is needed")
	s.checkRole(c)
	s.checkStore(c)
	s.checkTasks(c)
	s.checkKeys(c)
	for _, a := range s.Seeds {
		c.require(a.IsValid() && a.Port() != 0, "$.seeds", "holds an impossible address")
	}
	c.require(s.MemoryLimit >= minMemoryLimit, "$.memoryLimit", "must be at least 32 MiB, in bytes")
	c.require(log.ParseLevel(s.Log) != log.Level(0) && log.ParseLevel(s.Log) <= log.PanicLevel, "$.log", "must be trace, debug, info, warn or error")
	return c.violations
}

func (s *Settings) checkRole(c *settingsChecker) {
	if s.Role == fleet.RoleEntry {
		c.requireListenAddress("$.caller.listen", s.Caller.Listen)
		c.require(s.Caller.MaxBody > 0 && s.Caller.MaxBody <= maxBodyLimit, "$.caller.maxBody", "must be above 0 and at most 1 GiB")
		c.require(s.Caller.MaxHeader > 0 && s.Caller.MaxHeader <= 1<<20, "$.caller.maxHeader", "must be above 0 and at most 1 MiB")
		c.require(s.Caller.HeaderTimeout > 0, "$.caller.headerTimeout", "must be above 0")
	}
	if s.Role == fleet.RoleAgent {
		c.requireListenAddress("$.host.listen", s.Host.Listen)
	}
	c.require(s.Caller.Drain > 0, "$.caller.drain", "must be above 0")
}

func (s *Settings) checkStore(c *settingsChecker) {
	u, err := url.Parse(s.Store.Address)
	c.require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "$.store.address", "must be an http or https URL")
	c.require(s.Store.Writes > 0, "$.store.writes", "must be above 0")
	c.require(s.Store.Reads > 0, "$.store.reads", "must be above 0")
	c.require(s.Store.Timeout > 0, "$.store.timeout", "must be above 0")
}

func (s *Settings) checkTasks(c *settingsChecker) {
	c.require(s.Tasks.Lease >= minLease && s.Tasks.Lease <= maxLease, "$.tasks.lease", "must be between 2s and 1h")
	c.require(s.Tasks.RideThrough >= s.Tasks.Lease && s.Tasks.RideThrough <= maxRideThrough, "$.tasks.rideThrough", "must be between the lease and 48h")
	c.require(s.Tasks.Shards > 0 && s.Tasks.Shards <= maxShards, "$.tasks.shards", "must be between 1 and 256")
}

func (s *Settings) checkKeys(c *settingsChecker) {
	c.require(s.Keys.CA != "", "$.keys.ca", "is needed")
	c.require(s.Keys.Certificate != "", "$.keys.certificate", "is needed")
	c.require(s.Keys.Key != "", "$.keys.key", "is needed")
	c.require(s.Keys.Gossip != "", "$.keys.gossip", "is needed")
}

// A settingsChecker collects violations.
type settingsChecker struct {
	violations []document.Violation
}

func (c *settingsChecker) require(ok bool, path, message string) {
	if !ok {
		c.violations = append(c.violations, document.Violation{Path: path, Message: message})
	}
}

func (c *settingsChecker) requireListenAddress(path string, a netip.AddrPort) {
	c.require(a.IsValid(), path, "must be an address such as 127.0.0.1:7001")
	c.require(!a.IsValid() || a.Port() != 0, path, "needs a port")
	c.require(!a.IsValid() || !a.Addr().IsMulticast(), path, "must not be a multicast address")
}
