package poisonpill

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// Fingerprint identifies a request by what an engine reads of it, so that a repeat under a new ID is recognized. The digest
// is long enough that two different requests do not share one.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. uri is the path and query as the caller sent them.
func FingerprintOf(method, host, uri string, body []byte) (fingerprint Fingerprint) {
	digest := sha256.New()
	for _, part := range []string{method, host, uri} {
		digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // separates the parts
		digest.Write([]byte(part))
	}
	digest.Write(body)
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// ParseFingerprint parses the text that String returns.
func ParseFingerprint(text string) (fingerprint Fingerprint, err error) {
	defer func() { err = errors.Annotatef(err, "parsing fingerprint %q", text) }()
	data, err := hex.DecodeString(text)
	if err != nil {
		return fingerprint, err
	}
	if len(data) != len(fingerprint) {
		return fingerprint, errors.Errorf("it has %d bytes instead of %d", len(data), len(fingerprint))
	}
	return Fingerprint(data), nil
}

// String returns the fingerprint in hexadecimal, as in logs and keys.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

// MarshalText implements [encoding.TextMarshaler].
func (fingerprint Fingerprint) MarshalText() (text []byte, err error) {
	return []byte(fingerprint.String()), nil
}

// UnmarshalText implements [encoding.TextUnmarshaler].
func (fingerprint *Fingerprint) UnmarshalText(text []byte) (err error) {
	*fingerprint, err = ParseFingerprint(string(text))
	return err
}
