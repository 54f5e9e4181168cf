package resumption

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cowslipway/core/state/fleet"
)

// Stream records which build of the engines streams the response to a request.
type Stream struct {
	RequestID string
	Build     fleet.Build
	Attempt   int       // number of the attempt at an engine; a later one replaces the records of earlier ones
	Until     time.Time // time from which the stream cannot be resumed any longer
	Local     bool      // this process serves the request

	// What is known of the engine at the time when the request was sent to it. The engine may have started again by then.
	Engine         string // ID
	StartUnixMilli int64  // of the incarnation that was listed; 0 if engines have a new ID at each start
	SentUnixMilli  int64
}

// clockTolerance is by how far the clocks of engines and of processes may usually differ. A larger one would put streams in doubt that began
// just before their engine was replaced.
const clockTolerance = time.Second

// Doubtful reports whether the engine, as it is listed now or was last, may have had another version than the stream's build when it began
// the stream: it has started again, and not certainly later than that.
func (stream Stream) Doubtful(listed fleet.Engine) bool {
	if listed.ID != stream.Engine || listed.StartUnixMilli == stream.StartUnixMilli || listed.Build() == stream.Build {
		return false // nothing is known of it, it has not started again, or with the same build
	}
	return listed.StartUnixMilli <= stream.SentUnixMilli+clockTolerance.Milliseconds()
}

// Registry keeps the latest streams. It must not be used concurrently.
type Registry struct {
	MaxStreams int // streams kept; those recorded longest ago are forgotten first

	streams *simplelru.LRU[string, Stream]
}

func (registry *Registry) init() {
	if registry.streams == nil {
		// NewLRU returns an error only for a size below 1.
		registry.streams, _ = simplelru.NewLRU[string, Stream](max(registry.MaxStreams, 1), nil)
	}
}

// Put records a stream, unless a later attempt of its request is recorded. It returns the record that it replaces, which is zero if
// there is none.
func (registry *Registry) Put(stream Stream) (replaced Stream) {
	registry.init()
	replaced, ok := registry.streams.Peek(stream.RequestID)
	if ok && replaced.Attempt > stream.Attempt {
		return Stream{}
	}
	if replaced.Build == stream.Build && replaced.Until.After(stream.Until) {
		stream.Until = replaced.Until // the stream has been taken up meanwhile
	}
	registry.streams.Add(stream.RequestID, stream)
	return replaced
}

// Find returns the record of the stream that a request began.
func (registry *Registry) Find(now time.Time, requestID string) (stream Stream, ok bool) {
	registry.init()
	stream, ok = registry.streams.Peek(requestID)
	if !ok || now.After(stream.Until) {
		return Stream{}, false
	}
	return stream, true
}

// Local returns the streams that this process serves or has served, of one service or of all if service is empty.
func (registry *Registry) Local(now time.Time, service string) (streams []Stream) {
	registry.init()
	for _, stream := range registry.streams.Values() {
		if stream.Local && (service == "" || stream.Build.Service == service) && !now.After(stream.Until) {
			streams = append(streams, stream)
		}
	}
	return streams
}

// Len returns the number of streams kept.
func (registry *Registry) Len() int {
	registry.init()
	return registry.streams.Len()
}
