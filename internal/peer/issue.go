package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// An Authority signs the certificates of one deployment.
type Authority struct {
	certificate *x509.Certificate
	der         []byte
	key         *ecdsa.PrivateKey
}

// serialBits is the size of a certificate's random serial number, in bits.
const serialBits = 120

// notBeforeMargin is how far the start of validity is backdated, so that processes whose
// clocks run behind the issuer's accept a new certificate.
const notBeforeMargin = time.Hour

// NewAuthority returns an authority whose certificate expires the duration valid after now.
func NewAuthority(now time.Time, valid time.Duration) (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "peer: make authority")
	}
	t, err := certificateTemplate("sesamestream authority", now, valid)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return nil, errors.Wrap(err, "peer: make authority")
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "peer: make authority")
	}
	return &Authority{certificate: c, der: der, key: k}, nil
}

// certificateTemplate returns the fields that all certificates share.
func certificateTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "peer: generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-notBeforeMargin),
		NotAfter:     now.Add(valid),
	}, nil
}

// Issue returns a certificate, with its key, for the DNS name PeerName or OperatorName. It
// expires the duration valid after now.
func (a *Authority) Issue(name string, now time.Time, valid time.Duration) (tls.Certificate, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "peer: issue certificate")
	}
	t, err := certificateTemplate(name, now, valid)
	if err != nil {
		return tls.Certificate{}, err
	}
	t.DNSNames = []string{name}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &k.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "peer: issue certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: k}, nil
}

// Pool returns a certificate pool that trusts only this authority.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.certificate)
	return p
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.der})
}

// PEM returns a certificate made by Issue and its key in PEM.
func PEM(c tls.Certificate) (certificate, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer: encode key")
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Certificate[0]})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	return certificate, key, nil
}
