package poisonpill

import "crypto/sha256"

// Part is a part of a prompt that other requests may have too.
type Part struct {
	ID          string // as callers name it
	Fingerprint Fingerprint
}

// PartsOf returns the parts with the given IDs. Their fingerprints differ from those of all requests.
func PartsOf(ids []string) (parts []Part) {
	for _, id := range ids {
		digest := sha256.Sum256([]byte("part of a prompt\n" + id))
		part := Part{ID: id}
		copy(part.Fingerprint[:], digest[:])
		parts = append(parts, part)
	}
	return parts
}

// Content is what an engine reads of a request, as far as engines may end because of it.
type Content struct {
	Request Fingerprint // of the whole request
	Parts   []Part      // of its prompt
}
