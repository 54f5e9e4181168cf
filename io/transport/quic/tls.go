package quic

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/juju/errors"
)

// protocolName is the ALPN name of the protocol between entries and target daemons.
const protocolName = "cowslipway/1"

const demoCertificateLifetime = 24 * time.Hour

// KeyFiles names the PEM files of a process: its certificate and private key, and the certificate of the authority that signs
// its peers' certificates.
type KeyFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Load reads the files and returns the TLS configuration for either end of a connection.
func (files KeyFiles) Load() (config *tls.Config, err error) {
	defer func() { err = errors.Annotate(err, "loading TLS key files") }()
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("%s contains no certificate", files.Authority)
	}
	return mutualTLSConfig(certificate, pool), nil
}

// mutualTLSConfig returns a TLS configuration that requires a peer certificate signed by the fleet's authority. It does
// not check host names: VMs are replaced and addressed by IP, and the authority signs only certificates of the fleet's
// processes.
func mutualTLSConfig(certificate tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{certificate},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          authority,
		RootCAs:            authority,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, authority) },
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocolName},
	}
}

// verifyChain checks that the peer's certificate chain leads to authority.
func verifyChain(state tls.ConnectionState, authority *x509.CertPool) (err error) {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Annotate(err, "verifying the peer's certificate")
}

// Authority is a certificate authority with its key in memory, for the demo and for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (authority *Authority, err error) {
	defer func() { err = errors.Annotate(err, "creating a certificate authority") }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate("cowslipway authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue returns a TLS configuration with a new certificate for name, signed by authority.
func (authority *Authority) Issue(name string) (config *tls.Config, err error) {
	defer func() { err = errors.Annotatef(err, "issuing a certificate for %q", name) }()
	key, der, err := authority.sign(name)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	return mutualTLSConfig(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool), nil
}

// WriteFiles issues a certificate for name and writes the certificate, its key and the authority's certificate to files.
func (authority *Authority) WriteFiles(name string, files KeyFiles) (err error) {
	defer func() { err = errors.Annotatef(err, "writing key files for %q", name) }()
	key, der, err := authority.sign(name)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err = writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return err
	}
	if err = writePEM(files.Key, "EC PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return writePEM(files.Authority, "CERTIFICATE", authority.certificate.Raw)
}

// sign returns a new key and a DER certificate for name, signed by authority.
func (authority *Authority) sign(name string) (key *ecdsa.PrivateKey, der []byte, err error) {
	key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := certificateTemplate(name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err = x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	return key, der, err
}

// certificateTemplate returns a template that is valid for demoCertificateLifetime, and from an hour ago to tolerate clock
// skew.
func certificateTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(demoCertificateLifetime),
	}
}

// writePEM writes a PEM block of the given kind to the file at path.
func writePEM(path, kind string, der []byte) (err error) {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
