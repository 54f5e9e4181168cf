package httpsyntax

import (
	"net/http"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// pathMarks are the characters besides letters, digits and escapes that a path may have.
const pathMarks = "-._~!$&'()*+,;=:@/"

// CheckTarget returns an error unless target is a request target in origin form (RFC 9112, section 3.2.1): an absolute path and possibly a
// query, without a fragment.
func CheckTarget(target string) (err error) {
	if !strings.HasPrefix(target, "/") {
		return errors.Errorf("%q is no request target: it does not begin with a slash", target)
	}
	marks := pathMarks
	for index := 0; index < len(target); index++ {
		switch char := target[index]; {
		case isAlphanumeric(char) || strings.IndexByte(marks, char) >= 0:
		case char == '%' && index+2 < len(target) && isHex(target[index+1]) && isHex(target[index+2]):
			index += 2
		case char == '?':
			marks = pathMarks + "?"
		default:
			return errors.Errorf("%q is no request target: byte %d is not allowed", target, index)
		}
	}
	return nil
}

func isAlphanumeric(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9'
}

func isHex(char byte) bool {
	return char >= '0' && char <= '9' || char >= 'a' && char <= 'f' || char >= 'A' && char <= 'F'
}

// CheckWord returns an error unless text is one word, as which a request line has it: not empty, and without white space and control
// characters. Targets that callers of online requests send may have other characters than those of CheckTarget.
func CheckWord(text string) (err error) {
	if text == "" {
		return errors.New("a part of the request line is empty")
	}
	for index := range len(text) {
		if text[index] <= ' ' || text[index] == 0x7f {
			return errors.Errorf("%q is not one word of a request line: byte %d is not allowed", text, index)
		}
	}
	return nil
}

// CheckMethod returns an error unless method is a token.
func CheckMethod(method string) (err error) {
	if !httpguts.ValidHeaderFieldName(method) { // which is a token too
		return errors.Errorf("%q is no method", method)
	}
	return nil
}

// CheckHost returns an error unless host is a value of the field Host that names one.
func CheckHost(host string) (err error) {
	if host == "" || !httpguts.ValidHostHeader(host) {
		return errors.Errorf("%q is no host", host)
	}
	return nil
}

// CheckField returns an error unless name and value are those of a header field on one line.
func CheckField(name, value string) (err error) {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return errors.Errorf("%q is no name of a header field", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return errors.Errorf("%q is no value of the header field %s", value, name)
	}
	return nil
}

// CheckID returns an error unless id identifies a request as the value of a header field: it comes back as it was sent.
func CheckID(id string) (err error) {
	if id == "" || !httpguts.ValidHeaderFieldValue(id) || strings.Trim(id, " \t") != id {
		return errors.Errorf("%q is no ID of a request", id)
	}
	return nil
}

// CheckHeader returns an error unless all fields of header are valid and their names have the canonical form.
func CheckHeader(header http.Header) (err error) {
	for name, values := range header {
		if http.CanonicalHeaderKey(name) != name {
			return errors.Errorf("%q is not the canonical name of a header field", name)
		}
		for _, value := range values {
			if err = CheckField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}
