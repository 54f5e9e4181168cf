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
	alpn                = "cowslipway-member/1"
	certificateLifetime = 10 * 365 * 24 * time.Hour // peers check the fingerprint, not the dates
)

// Identity is the certificate that a process proves itself with.
type Identity struct {
	Certificate tls.Certificate
	Fingerprint string // SHA-256 of the certificate, in hexadecimal
}

// NewIdentity draws a key and signs a certificate with it.
func NewIdentity() (identity Identity, err error) {
	defer func() { err = errors.Annotate(err, "making a certificate") }()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return identity, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "cowslipway"},
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return identity, err
	}
	identity.Certificate = tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
	identity.Fingerprint = fingerprint(der)
	return identity, nil
}

func fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// config returns TLS settings that accept a peer whose certificate's fingerprint passes known.
func (identity Identity) config(known func(fingerprint string) bool) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{identity.Certificate},
		NextProtos:         []string{alpn},
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, //nolint:gosec // the fingerprint is checked below; there is no authority
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 || !known(fingerprint(state.PeerCertificates[0].Raw)) {
				return errors.New("the peer's certificate is not the one in the store")
			}
			return nil
		},
	}
}
