package jobrecord

import (
	"unicode/utf8"
)

const (
	chunkOverhead  = 64 // encoded size of a chunk without its results, at most
	resultOverhead = 64 // encoded size of a result without its ID and text, at most
	// minPartBytes leaves room for a character in each part of a text.
	minPartBytes = 256
)

// EncodedBytes returns the size of a result in an encoded chunk, at most.
func (result Result) EncodedBytes() int {
	return resultOverhead + escapedBytes(result.ID) + result.TextBytes()
}

// TextBytes returns the size of the encoded text of a result.
func (result Result) TextBytes() int { return escapedBytes(result.Text) }

// Split returns the parts of a result, in the order of its text, such that a chunk with one of them has at most maxBytes when it is encoded.
func (result Result) Split(maxBytes int) (parts []Result) {
	room := max(minPartBytes, maxBytes-chunkOverhead-resultOverhead-escapedBytes(result.ID))
	rest, size, from := result.Text, 0, 0
	for at := 0; at < len(rest); {
		char, width := utf8.DecodeRuneInString(rest[at:])
		cost := escapedRuneBytes(char, width)
		if size+cost > room {
			parts = append(parts, Result{ID: result.ID, State: result.State, Text: rest[from:at]})
			size, from = 0, at
		}
		size += cost
		at += width
	}
	return append(parts, Result{ID: result.ID, State: result.State, Text: rest[from:]})
}

// escapedBytes returns the size of a text as a JSON string without the quotation marks.
func escapedBytes(text string) (size int) {
	for at := 0; at < len(text); {
		if char := text[at]; char < utf8.RuneSelf {
			size += escapedRuneBytes(rune(char), 1)
			at++
			continue
		}
		char, width := utf8.DecodeRuneInString(text[at:])
		size += escapedRuneBytes(char, width)
		at += width
	}
	return size
}

// escapedRuneBytes returns the size of a character, of width bytes, in a JSON string as encoding/json writes it.
func escapedRuneBytes(char rune, width int) (size int) {
	switch {
	case char == '"', char == '\\', char == '\n', char == '\r', char == '\t', char == '\b', char == '\f':
		return 2
	case char < ' ', char == '<', char == '>', char == '&', char == '\u2028', char == '\u2029', char == utf8.RuneError && width == 1:
		return 6
	}
	return width
}

// MaxResultBytes returns how many encoded bytes results may have together so that their chunk has at most maxBytes.
func MaxResultBytes(maxBytes int) int { return maxBytes - chunkOverhead }
