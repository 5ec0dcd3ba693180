package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// PeerName is the DNS name that a certificate of one of the system's own
// processes carries.
const PeerName = "peer.sesamestream"

// OperatorName is the DNS name that an operator's certificate carries.
const OperatorName = "operator.sesamestream"

// protocolName is negotiated by ALPN; a new major version takes a new name.
const protocolName = "sesamestream/1"

// ErrBadKeys is returned for keys that cannot be used.
var ErrBadKeys = errors.New("peer: bad keys")

// ErrNotPeer is returned where the other side's certificate is not a peer's.
var ErrNotPeer = errors.New("peer: certificate is not a peer's")

// Keys are the certificate of one process and the authority it trusts.
type Keys struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// A KeyRing holds the keys in use; they are replaced while connections live.
type KeyRing struct {
	keys atomic.Pointer[Keys]
}

// NewKeyRing returns a ring that holds k.
func NewKeyRing(k *Keys) *KeyRing {
	r := &KeyRing{}
	r.keys.Store(k)
	return r
}

// Replace puts k in use for new connections.
func (r *KeyRing) Replace(k *Keys) {
	r.keys.Store(k)
}

// LoadKeys reads PEM files. Errors are ErrBadKeys.
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

// LoadAuthority reads the authority alone, for a client that shows no
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

// serverConfig returns the TLS settings for connections that come in.
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

// clientConfig returns the TLS settings for one connection that goes out.
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

// verifyPeer refuses a caller's or an operator's certificate.
func verifyPeer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 || !slices.Contains(s.PeerCertificates[0].DNSNames, PeerName) {
		return ErrNotPeer
	}
	return nil
}

// OperatorConfig returns the TLS settings of the operators' port: a client
// certificate is checked where one is shown.
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
