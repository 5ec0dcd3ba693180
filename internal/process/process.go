// Package process builds and runs an entry or an agent from its settings.
package process

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sesamestream/sesamestream/internal/base"
	"github.com/sesamestream/sesamestream/internal/gossip"
	"github.com/sesamestream/sesamestream/internal/peer"
	"github.com/sesamestream/sesamestream/internal/settings"
)

// gossipKeyBytes is the size of a gossip key in bytes.
const gossipKeyBytes = 32

// Secrets are the keys and tokens of a process.
type Secrets struct {
	// PeerKeys are the keys for mutual TLS between peers.
	PeerKeys *peer.Keys
	// GossipKeys are the keys of gossip packets. The first one encrypts.
	GossipKeys [][]byte
	// OperatorToken is the operators' bearer token.
	OperatorToken string
	// StoreToken is the access token of the store; empty if it needs none.
	StoreToken string
}

// A Process is one entry or agent. Its exported fields are set before Run.
type Process struct {
	Settings settings.Settings
	// Secrets are used until Reload returns others.
	Secrets Secrets
	// Reload reads the secrets again. It is called for each signal on ReloadSignal; nil disables reloading.
	Reload func() (Secrets, error)
	// ReloadSignal receives a signal for each time that the secrets are to be reloaded.
	ReloadSignal <-chan os.Signal
	// Log receives the events of the process.
	Log *log.Logger

	peerKeys   *peer.KeyRing
	gossipKeys *gossip.KeyRing
	base       atomic.Pointer[base.Base]
}

// Load reads the settings and secrets of a process. Paths in the settings are
// relative to the settings file.
func Load(file string) (*Process, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	read := func() (Secrets, error) { return readSecrets(filepath.Dir(file), s) }
	x, err := read()
	if err != nil {
		return nil, err
	}
	return &Process{Settings: s, Secrets: x, Reload: read}, nil
}

func readSecrets(dir string, s settings.Settings) (Secrets, error) {
	at := func(name string) string {
		if filepath.IsAbs(name) {
			return name
		}
		return filepath.Join(dir, name)
	}
	var x Secrets
	var err error
	x.PeerKeys, err = peer.LoadKeys(at(s.Keys.CA), at(s.Keys.Certificate), at(s.Keys.Key))
	if err != nil {
		return x, err
	}
	x.GossipKeys, err = readGossipKeys(at(s.Keys.Gossip))
	if err != nil {
		return x, err
	}
	x.OperatorToken, err = readToken(at(s.Operator.TokenFile))
	if err != nil || s.Store.TokenFile == "" {
		return x, err
	}
	x.StoreToken, err = readToken(at(s.Store.TokenFile))
	return x, err
}

func readToken(file string) (string, error) {
	b, err := os.ReadFile(file)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "token")
}

// readGossipKeys reads keys in hexadecimal, one per line.
func readGossipKeys(file string) ([][]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "gossip keys")
	}
	var keys [][]byte
	for _, l := range strings.Fields(string(b)) {
		k, err := hex.DecodeString(l)
		if err != nil || len(k) != gossipKeyBytes {
			return nil, errors.Wrapf(peer.ErrBadKeys, "%s: each line must be 64 hexadecimal digits", file)
		}
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return nil, errors.Wrapf(peer.ErrBadKeys, "%s holds no key", file)
	}
	return keys, nil
}
