package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// PeerName is the DNS name in the certificates of the system's own processes.
const PeerName = "peer.sesamestream"

// OperatorName is the DNS name in an operator's certificate.
const OperatorName = "operator.sesamestream"

// protocolName is the protocol negotiated by ALPN. A new major version gets a new name.
const protocolName = "sesamestream/1"

// ErrBadKeys is returned for certificates or keys that cannot be read or used.
var ErrBadKeys = errors.New("peer: invalid certificate or key")

// ErrNotPeer is returned if the other side's certificate doesn't carry PeerName.
var ErrNotPeer = errors.New("peer: certificate doesn't carry the DNS name of a peer")

// Keys holds the certificate of one process and the authority it trusts.
type Keys struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// A KeyRing holds the keys in use, which can be replaced while connections are open.
type KeyRing struct {
	keys atomic.Pointer[Keys]
}

// NewKeyRing returns a ring that holds k.
func NewKeyRing(k *Keys) *KeyRing {
	r := &KeyRing{}
	r.keys.Store(k)
	return r
}

// Replace uses k for new connections; open connections are not affected.
func (r *KeyRing) Replace(k *Keys) {
	r.keys.Store(k)
}

// LoadKeys reads the authority, the certificate and its key from PEM files. Errors are
// ErrBadKeys.
func LoadKeys(authority, certificate, key string) (*Keys, error) {
	k, err := LoadAuthority(authority)
	if err != nil {
		return nil, err
	}
	c, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrap(ErrBadKeys, err.Error())
	}
	k.Certificate = c
	return k, nil
}

// LoadAuthority reads only the authority from a PEM file, for a client without a
// certificate. Errors are ErrBadKeys.
func LoadAuthority(file string) (*Keys, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(ErrBadKeys, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Wrapf(ErrBadKeys, "%s holds no certificate", file)
	}
	return &Keys{Authority: pool}, nil
}

// serverConfig returns the TLS settings for incoming connections. Clients must have a peer's
// certificate. Each handshake uses the keys that are current then.
func (r *KeyRing) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k := r.keys.Load()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				NextProtos:       []string{protocolName},
				Certificates:     []tls.Certificate{k.Certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        k.Authority,
				VerifyConnection: verifyPeer,
			}, nil
		},
	}
}

// clientConfig returns the TLS settings for one outgoing connection, with the current keys.
func (r *KeyRing) clientConfig() *tls.Config {
	k := r.keys.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		ServerName:   PeerName,
		Certificates: []tls.Certificate{k.Certificate},
		RootCAs:      k.Authority,
	}
}

// verifyPeer rejects certificates of the same authority that are not a peer's, such as an
// operator's.
func verifyPeer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 || !slices.Contains(s.PeerCertificates[0].DNSNames, PeerName) {
		return ErrNotPeer
	}
	return nil
}

// OperatorConfig returns the TLS settings of the operators' port. A client certificate is
// optional, and verified if the client sends one.
func (r *KeyRing) OperatorConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k := r.keys.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{k.Certificate},
				ClientAuth:   tls.VerifyClientCertIfGiven,
				ClientCAs:    k.Authority,
			}, nil
		},
	}
}
