package poisonpill

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxSoundBuilds bounds the builds that are kept for a part: during an upgrade engines of two or three serve.
const maxSoundBuilds = 4

// soundParts remembers at which builds of the engines a part of prompts is sound: a request with it ran there without ending its
// engine. It must not be used concurrently.
type soundParts struct {
	parts *simplelru.LRU[Fingerprint, []soundness]
}

// soundness is the latest time at which a part was found to be sound at a build.
type soundness struct {
	build string
	at    time.Time
}

// add records that a part is sound at a build.
func (sound *soundParts) add(maxParts int, at time.Time, part Fingerprint, build string) {
	if sound.parts == nil {
		// NewLRU returns an error only for a size below 1.
		sound.parts, _ = simplelru.NewLRU[Fingerprint, []soundness](max(maxParts, 1), nil)
	}
	known, _ := sound.parts.Get(part)
	if index := slices.IndexFunc(known, func(other soundness) bool { return other.build == build }); index >= 0 {
		if at.After(known[index].at) {
			known[index].at = at
		}
		return
	}
	if len(known) == maxSoundBuilds {
		known = slices.Delete(known, 0, 1)
	}
	sound.parts.Add(part, append(known, soundness{build: build, at: at}))
}

// has reports whether a part is sound at a build, or at any build if build is empty.
func (sound *soundParts) has(now time.Time, part Fingerprint, build string) bool {
	if sound.parts == nil {
		return false
	}
	known, _ := sound.parts.Peek(part)
	return slices.ContainsFunc(known, func(other soundness) bool {
		return (build == "" || other.build == build) && now.Sub(other.at) <= EndLifetime
	})
}
