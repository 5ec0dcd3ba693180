// Package settings reads the YAML settings of one process.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/pkg/document"
	"github.com/sesamestream/sesamestream/pkg/fleet"
)

// ErrInvalid is the cause of every error about settings that break a rule.
var ErrInvalid = document.ErrInvalid

// Settings are what one process is told at its start.
type Settings struct {
	// Role is entry or agent.
	Role fleet.Role `yaml:"role"`
	// ID names the process; it stays the same over restarts.
	ID fleet.ID `yaml:"id"`
	// Place is where the host stands.
	Place fleet.Place `yaml:"place"`
	// Peer is the address for the system's other processes.
	Peer Endpoint `yaml:"peer"`
	// Operator is the address for operators.
	Operator Operator `yaml:"operator"`
	// Caller is the address for callers; entries only.
	Caller Caller `yaml:"caller"`
	// Host is the address where targets and workers of this host announce themselves; agents only.
	Host Endpoint `yaml:"host"`
	// Store is the platform's key-value store.
	Store Store `yaml:"store"`
	// Keys are the files of the peers' mutual TLS.
	Keys Keys `yaml:"keys"`
	// Seeds are peer addresses to join by.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Tasks bounds the leases of tasks.
	Tasks Tasks `yaml:"tasks"`
	// Log is the lowest level that is written.
	Log string `yaml:"log"`
	// MemoryLimit is the heap size at which the process collects garbage harder.
	MemoryLimit fleet.Bytes `yaml:"memoryLimit"`
}

// An Endpoint is an address to listen at.
type Endpoint struct {
	Listen netip.AddrPort `yaml:"listen"`
}

// An Operator is the operators' endpoint and its token.
type Operator struct {
	Listen netip.AddrPort `yaml:"listen"`
	// TokenFile holds the bearer token operators present.
	TokenFile string `yaml:"tokenFile"`
}

// A Caller is the callers' endpoint and its bounds.
type Caller struct {
	Listen netip.AddrPort `yaml:"listen"`
	// MaxBody bounds one request's body.
	MaxBody fleet.Bytes `yaml:"maxBody"`
	// MaxHeader bounds one request's headers.
	MaxHeader fleet.Bytes `yaml:"maxHeader"`
	// HeaderTimeout bounds how long a caller may take to send its headers.
	HeaderTimeout time.Duration `yaml:"headerTimeout"`
	// Drain bounds a graceful shutdown.
	Drain time.Duration `yaml:"drain"`
}

// A Store is where the platform's store is and what this process may ask of it.
type Store struct {
	// Address is the base URL.
	Address string `yaml:"address"`
	// TokenFile holds the store's access token; empty for none.
	TokenFile string `yaml:"tokenFile"`
	// Writes and Reads are calls a second.
	Writes float64 `yaml:"writes"`
	Reads  float64 `yaml:"reads"`
	// Timeout bounds one call other than a watch.
	Timeout time.Duration `yaml:"timeout"`
}

// Keys name the PEM files of the peers' mutual TLS and the gossip key.
type Keys struct {
	CA          string `yaml:"ca"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Gossip holds 32-byte keys in hexadecimal, one a line; the first seals.
	Gossip string `yaml:"gossip"`
}

// Tasks are the bounds of the leases of tasks.
type Tasks struct {
	// Lease is how long a worker runs a task without hearing from its owner.
	Lease time.Duration `yaml:"lease"`
	// RideThrough is how long owners renew leases after their last contact with the store.
	RideThrough time.Duration `yaml:"rideThrough"`
	// Shards is the number of shards; it is the same in the whole fleet for good.
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

// Default returns settings with every default in place.
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

// Parse reads settings over the defaults and checks them. The error lists each
// fault with its line and column and is ErrInvalid.
func Parse(data []byte) (Settings, error) {
	s := Default()
	err := document.Decode(data, &s)
	return s, err
}

// Load reads the settings in a file; errors are those of Parse and of reading.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrap(err, file)
}
