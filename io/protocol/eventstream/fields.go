package eventstream

import (
	"bytes"
	"unicode"

	"github.com/juju/errors"
)

const maxQuotedBytes = 80 // of a line in an error

// Check returns an error if a block of lines, which ends with a blank one, is no event: it has text such as the head of a response or that of an
// error. Beside an ID or data, fields of any name may stand.
func Check(block []byte) (err error) {
	isOutput := hasField(block, "id:") || hasField(block, "data:")
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if line = bytes.TrimSuffix(line, []byte("\r")); !isField(line, isOutput) {
			return errors.Errorf("the stream has %q, which is no field of an event", line[:min(len(line), maxQuotedBytes)])
		}
	}
	return nil
}

// hasField reports whether a line of block begins with prefix.
func hasField(block []byte, prefix string) bool {
	return bytes.HasPrefix(block, []byte(prefix)) || bytes.Contains(block, []byte("\n"+prefix))
}

// isField reports whether a line may stand in an event.
func isField(line []byte, besideOutput bool) bool {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "id", "data", "event", "retry": // without a name, it is a comment or the end of the event
		return true
	}
	return besideOutput && hasColon && !bytes.ContainsFunc(name, func(char rune) bool {
		return char != '-' && char != '_' && !unicode.IsLetter(char) && !unicode.IsDigit(char)
	})
}
