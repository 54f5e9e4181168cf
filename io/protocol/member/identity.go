package member

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/juju/errors"
)

const (
	protocolName        = "cowslipway-member/1"     // for TLS protocol negotiation (ALPN)
	certificateLifetime = 10 * 365 * 24 * time.Hour // peers check the fingerprint, not the dates
)

// Identity is the self-signed certificate by which peers authenticate a process.
type Identity struct {
	Certificate tls.Certificate
	Fingerprint string // SHA-256 digest of the certificate, in hexadecimal
}

// NewIdentity generates a key and a self-signed certificate for it.
func NewIdentity() (identity Identity, err error) {
	defer func() { err = errors.Annotate(err, "creating a certificate") }()
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return identity, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "cowslipway"},
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	if err != nil {
		return identity, err
	}
	identity.Certificate = tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey}
	identity.Fingerprint = fingerprintOf(der)
	return identity, nil
}

// fingerprintOf returns the SHA-256 digest of a DER-encoded certificate, in hexadecimal.
func fingerprintOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// tlsConfig returns TLS settings that accept exactly the peers whose certificate fingerprint isKnown accepts.
func (identity Identity) tlsConfig(isKnown func(fingerprint string) bool) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{identity.Certificate},
		NextProtos:         []string{protocolName},
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, //nolint:gosec // there is no certificate authority; VerifyConnection checks the fingerprint
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 || !isKnown(fingerprintOf(state.PeerCertificates[0].Raw)) {
				return errors.New("the peer's certificate does not match a member record in the store")
			}
			return nil
		},
	}
}
