package fleet

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

const (
	maxNameBytes     = 180 // a key of the store has 200 at most
	fingerprintBytes = 32  // a SHA-256 digest
)

// DecodeMember decodes the member record of the VM called name. A record that does not describe a process which can be connected to is an
// error.
func DecodeMember(name string, value []byte) (member Member, err error) {
	defer func() { err = errors.Annotatef(err, "decoding the record of member %q", name) }()
	if err = json.Unmarshal(value, &member); err != nil {
		return Member{}, err
	}
	digest, digestErr := hex.DecodeString(member.Fingerprint)
	switch {
	case member.Name != name:
		err = errors.Errorf("it names member %q", member.Name)
	case !isName(name) || !isName(member.Incarnation):
		err = errors.Errorf("name %q and incarnation %q are no names", name, member.Incarnation)
	case member.Role != IngressRole && member.Role != WorkerRole && member.Role != ReporterRole:
		err = errors.Errorf("role %q is not known", member.Role)
	case !isAddress(member.Address) || member.Engine != "" && !isAddress(member.Engine):
		err = errors.Errorf("address %q or %q is not an IP address and a port", member.Address, member.Engine)
	case digestErr != nil || len(digest) != fingerprintBytes:
		err = errors.Errorf("fingerprint %q is not one of a certificate", member.Fingerprint)
	}
	if err != nil {
		return Member{}, err
	}
	return member, nil
}

// isName reports whether a text may be the name or the incarnation of a member.
func isName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, func(char rune) bool {
		return unicode.IsControl(char) || char == utf8.RuneError || char == '/' // separates name and incarnation in IDs
	})
}

// isAddress reports whether a text is an IP address and a port.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
