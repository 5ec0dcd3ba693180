// Package settings loads and checks the YAML settings of a process.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/document"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrInvalid matches, with errors.Is, every error about settings that break a rule.
var ErrInvalid = document.ErrInvalid

// Settings are the settings of a process, which it reads when it starts.
type Settings struct {
	// Role is entry or agent.
	Role fleet.Role `yaml:"role"`
	// ID identifies the process; it stays the same across restarts.
	ID fleet.ID `yaml:"id"`
	// Place is the location of the host.
	Place fleet.Place `yaml:"place"`
	// Peer is the endpoint for the other processes of the system.
	Peer Endpoint `yaml:"peer"`
	// Operator is the endpoint for operators.
	Operator Operator `yaml:"operator"`
	// Caller is the endpoint for callers. Only entries use it, but its Drain also applies to agents.
	Caller Caller `yaml:"caller"`
	// Host is the endpoint at which targets and workers of the host announce themselves; only agents use it.
	Host Endpoint `yaml:"host"`
	// Store is the platform's key-value store.
	Store Store `yaml:"store"`
	// Keys are the files for mutual TLS between peers and for gossip.
	Keys Keys `yaml:"keys"`
	// Seeds are the addresses of peers through which the process joins the fleet.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Tasks are the settings of task leases and shards.
	Tasks Tasks `yaml:"tasks"`
	// Log is the lowest level of events that are logged.
	Log string `yaml:"log"`
	// MemoryLimit is the heap size, in bytes, at which the garbage collector runs more often.
	MemoryLimit fleet.Bytes `yaml:"memoryLimit"`
}

// An Endpoint is an address on which the process listens.
type Endpoint struct {
	Listen netip.AddrPort `yaml:"listen"`
}

// An Operator is the operators' endpoint and its token.
type Operator struct {
	Listen netip.AddrPort `yaml:"listen"`
	// TokenFile is the file with the bearer token that operators present.
	TokenFile string `yaml:"tokenFile"`
}

// A Caller is the callers' endpoint and its limits.
type Caller struct {
	Listen netip.AddrPort `yaml:"listen"`
	// MaxBody bounds the size of a request body.
	MaxBody fleet.Bytes `yaml:"maxBody"`
	// MaxHeader bounds the size of the headers of a request.
	MaxHeader fleet.Bytes `yaml:"maxHeader"`
	// HeaderTimeout bounds the time for sending the headers, and separately that for the body.
	HeaderTimeout time.Duration `yaml:"headerTimeout"`
	// Drain bounds the duration of a graceful shutdown.
	Drain time.Duration `yaml:"drain"`
}

// A Store is the address of the platform's store and the limits of calls to it.
type Store struct {
	// Address is the base URL.
	Address string `yaml:"address"`
	// TokenFile is the file with the store's access token; empty if it needs none.
	TokenFile string `yaml:"tokenFile"`
	// Writes and Reads bound the calls per second; watches count as reads.
	Writes float64 `yaml:"writes"`
	Reads  float64 `yaml:"reads"`
	// Timeout bounds the duration of a call other than a watch.
	Timeout time.Duration `yaml:"timeout"`
}

// Keys are the paths of the PEM files for mutual TLS between peers and of the gossip keys.
type Keys struct {
	CA          string `yaml:"ca"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Gossip is the file with the 32-byte gossip keys in hexadecimal, one per line. The first key encrypts.
	Gossip string `yaml:"gossip"`
}

// Tasks are the settings of task leases and shards.
type Tasks struct {
	// Lease is how long a worker runs a task without contact from its owner.
	Lease time.Duration `yaml:"lease"`
	// RideThrough is how long owners renew leases after their last contact with the store.
	RideThrough time.Duration `yaml:"rideThrough"`
	// Shards is the number of shards; it is the same for the whole fleet and must never change.
	Shards int `yaml:"shards"`
}

// The defaults of settings that a file leaves out.
const (
	defaultMaxBody       = 8 << 20
	defaultMaxHeader     = 32 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultDrain         = 30 * time.Second
	defaultWrites        = 40
	defaultReads         = 100
	defaultStoreTimeout  = 2 * time.Second
	defaultLease         = 30 * time.Second
	defaultRideThrough   = 2 * time.Hour
	defaultShards        = 16
	defaultLog           = "info"
	defaultMemoryLimit   = 200 << 20
)

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Caller: Caller{
			MaxBody:       defaultMaxBody,
			MaxHeader:     defaultMaxHeader,
			HeaderTimeout: defaultHeaderTimeout,
			Drain:         defaultDrain,
		},
		Store: Store{Writes: defaultWrites, Reads: defaultReads, Timeout: defaultStoreTimeout},
		Tasks: Tasks{Lease: defaultLease, RideThrough: defaultRideThrough, Shards: defaultShards},
		Log:   defaultLog,

		MemoryLimit: defaultMemoryLimit,
	}
}

// Parse decodes settings on top of the defaults and checks them. The error lists
// every problem with its line and column and matches ErrInvalid.
func Parse(data []byte) (Settings, error) {
	s := Default()
	err := document.Decode(data, &s)
	return s, err
}

// Load reads and parses a settings file. It returns errors of Parse and of reading the file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, file)
}
