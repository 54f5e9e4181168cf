package node

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/resumption"
	"cowslipway/core/state/fleet"
	"cowslipway/io/process/telemetry"
)

const (
	// streamsCall starts a call between members about the streams that they serve.
	streamsCall = "streams\n"
	maxStreams  = 16384 // records that are kept in memory, of about 200 bytes each
	// streamHolders is how many other members are informed of a stream: one may be lost together with the process that serves it.
	streamHolders = 2
	// streamAsked is how many members are asked which build began a stream. It exceeds streamHolders, since members that start or end
	// change the order of the holders.
	streamAsked = 8
	// streamProvers is how many members are asked for a proof by a process that has not run for long enough.
	streamProvers = 3
	// shortAsk and longAsk bound the wait for the records of members: after shortAsk a proof is sought beside it.
	shortAsk = 30 * time.Millisecond
	longAsk  = 150 * time.Millisecond
	// viewLag is the age up to which a process counts on its view for streams that it begins.
	viewLag = 2 * time.Second
	// streamMargin is how long a stream may be taken up after the longest time that its request may take.
	streamMargin = 3 * time.Second
	// recordLifetime is how much longer the record of a stream is kept: callers may have more time than a route gives to one of their
	// requests, and no ingress may be there to take the stream up meanwhile.
	recordLifetime = time.Minute
	// defaultStreamLifetime applies to routes without a timeout.
	defaultStreamLifetime = time.Minute
	informTimeout         = time.Second // of a message about streams
)

// streams keeps which builds of the engines began the streams of this process and of others.
type streams struct {
	node *Node

	mutex    sync.Mutex
	registry resumption.Registry
	history  resumption.History
	pending  map[string][]resumption.Stream // to be sent, by the ID of the member
	wake     chan struct{}                  // there is something to send

	asOf      time.Time     // history has all builds of the engines that were listed at this time
	followed  time.Time     // the view of the store, which has all changes, was current at this time
	newer     chan struct{} // closed when asOf may have changed; nil while no call of prove waits
	reading   bool          // the engines are being read for a proof
	readAfter time.Time     // time of the next such read

	files streamFiles
}

// streamMessage is a request or a response of a call about streams.
type streamMessage struct {
	Begun []begunStream `json:"begun,omitempty"`
	Find  string        `json:"find,omitempty"` // ID of the request that began the stream to be found

	Prove    bool   `json:"prove,omitempty"`     // asks for the only version that Service has had for WindowMS, by a view that is not older than the call
	Service  string `json:"service,omitempty"`   // of a stream
	WindowMS int64  `json:"window_ms,omitempty"` // largest age of the stream
	Sole     string `json:"sole,omitempty"`      // the version
	Proven   bool   `json:"proven,omitempty"`    // Sole is set
	ProofMS  int64  `json:"proof_ms,omitempty"`  // how long after the call the view was current
}

// begunStream is a resumption.Stream in a message.
type begunStream struct {
	RequestID   string      `json:"request"`
	Build       fleet.Build `json:"build"`
	Attempt     int         `json:"attempt"`
	RemainingMS int64       `json:"remaining_ms"` // time until the stream cannot be resumed any longer

	Engine         string `json:"engine,omitempty"`
	StartUnixMilli int64  `json:"start,omitempty"`
	SentUnixMilli  int64  `json:"sent,omitempty"`
}

// encodeStream returns the form of a stream in a message.
func encodeStream(now time.Time, stream resumption.Stream) begunStream {
	return begunStream{
		RequestID: stream.RequestID, Build: stream.Build, Attempt: stream.Attempt, RemainingMS: stream.Until.Sub(now).Milliseconds(),
		Engine: stream.Engine, StartUnixMilli: stream.StartUnixMilli, SentUnixMilli: stream.SentUnixMilli,
	}
}

// decode returns the stream of a message.
func (begun begunStream) decode(now time.Time) resumption.Stream {
	return resumption.Stream{
		RequestID: begun.RequestID, Build: begun.Build, Attempt: begun.Attempt, Until: now.Add(time.Duration(begun.RemainingMS) * time.Millisecond),
		Engine: begun.Engine, StartUnixMilli: begun.StartUnixMilli, SentUnixMilli: begun.SentUnixMilli,
	}
}

// init sets up an empty record.
func (streams *streams) init(node *Node) {
	streams.node = node
	streams.registry.MaxStreams = maxStreams
	streams.pending = map[string][]resumption.Stream{}
	streams.wake = make(chan struct{}, 1)
	streams.files = streamFiles{log: node.Log, queue: make(chan resumption.Stream, streamBacklog)}
	if node.Role == fleet.WorkerRole {
		streams.files.directory = node.Settings.DataDirectory
	}
}

// StreamWindow returns how long after its beginning a stream may be taken up, on a route whose requests may take timeout.
func StreamWindow(timeout time.Duration) (window time.Duration) {
	if timeout <= 0 {
		timeout = defaultStreamLifetime
	}
	return timeout + streamMargin
}

// observe records the engines that are listed. Where a service has several builds from now on, the holders of its streams are informed
// of those that began before.
func (streams *streams) observe(now time.Time, engines []fleet.Engine) {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	for _, service := range streams.history.Observe(now, engines) {
		begun := streams.registry.Local(now, service)
		streams.node.Log.Info("several software versions serve", zap.String("service", service), zap.Int("streams", len(begun)))
		for _, stream := range begun {
			streams.queue(stream)
		}
	}
}

// queue queues a stream for the members that keep its record. The mutex must be held.
func (streams *streams) queue(stream resumption.Stream) {
	for _, holder := range streams.holders(stream.RequestID, streamHolders) {
		streams.pending[holder] = append(streams.pending[holder], stream)
	}
	streams.requestSending()
}

// requestSending makes run send what is queued.
func (streams *streams) requestSending() {
	select {
	case streams.wake <- struct{}{}:
	default: // already requested
	}
}

// greet informs a member that has connected of the streams of this process whose records it keeps. It may not have been reached when they
// began.
func (streams *streams) greet(memberID string) {
	now := time.Now()
	streams.mutex.Lock()
	begun := streams.registry.Local(now, "")
	streams.mutex.Unlock()
	begun = slices.DeleteFunc(begun, func(stream resumption.Stream) bool {
		old := stream.Until.Before(now.Add(recordLifetime)) // of a caller that has most likely given up
		return old || !slices.Contains(streams.holders(stream.RequestID, streamHolders), memberID)
	})
	if len(begun) == 0 {
		return
	}
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	streams.pending[memberID] = append(streams.pending[memberID], begun...)
	streams.requestSending()
}

// RecordStream records that the response to a request is about to be streamed by an engine, so that the stream can be resumed at the same
// build, here or at another member. informed is closed once the stream may begin as far as its holders are concerned:
// at once while the service has one version, else when all of them have responded or failed: those that are left may be lost together.
func (node *Node) RecordStream(ctx context.Context, requestID string, engine fleet.Engine, attempt int, sent time.Time, window time.Duration) (informed <-chan struct{}) {
	stream := resumption.Stream{RequestID: requestID, Build: engine.Build(), Attempt: attempt}
	stream.Engine, stream.StartUnixMilli, stream.SentUnixMilli = engine.ID, engine.StartUnixMilli, sent.UnixMilli()
	return node.RenewStream(ctx, stream, window)
}

// RenewStream records that a stream may be taken up until window is over. It returns the same as RecordStream.
func (node *Node) RenewStream(ctx context.Context, stream resumption.Stream, window time.Duration) (informed <-chan struct{}) {
	streams, now := &node.streams, time.Now()
	requestID, build := stream.RequestID, stream.Build
	stream.Until, stream.Local = now.Add(window+recordLifetime), true
	done := make(chan struct{})
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	streams.registry.Put(stream)
	if _, sole := streams.sole(now, build.Service, window); sole {
		streams.queue(stream)
		close(done) // until they know, it can be proven which version began it
		return done
	}
	holders := streams.holders(requestID, streamHolders)
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), informTimeout)
		defer cancel()
		message := streamMessage{Begun: []begunStream{encodeStream(now, stream)}}
		streams.ask(ctx, holders, message, func(string, streamMessage) (finished bool) { return false })
	}()
	return done
}

// holders returns the IDs of up to limit other members that keep the record of a stream, the most likely ones first.
func (streams *streams) holders(requestID string, limit int) (holders []string) {
	for _, holder := range resumption.Holders(requestID, streams.node.directory.allMembers(), limit+1) {
		if holder != streams.node.self.ID() && len(holders) < limit {
			holders = append(holders, holder)
		}
	}
	return holders
}

// restore takes over the records that the previous process of this worker kept.
func (streams *streams) restore() {
	if streams.files.directory == "" {
		return
	}
	kept := streams.files.read(time.Now())
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	for _, stream := range kept {
		streams.registry.Put(stream)
	}
}

// run informs members of streams until ctx ends.
func (streams *streams) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-streams.wake:
		}
		streams.mutex.Lock()
		pending := streams.pending
		streams.pending = map[string][]resumption.Stream{}
		streams.mutex.Unlock()
		now := time.Now()
		for holder, begun := range pending {
			message := streamMessage{}
			for _, stream := range begun {
				message.Begun = append(message.Begun, encodeStream(now, stream))
			}
			go func() { // a member that does not answer delays no other
				ctx, cancel := context.WithTimeout(ctx, informTimeout)
				defer cancel()
				if _, err := streams.call(ctx, holder, message); err != nil {
					streams.node.Log.Info("member not informed of streams", zap.String("member", holder), zap.Int("streams", len(begun)), telemetry.Err(err))
				}
			}()
		}
	}
}

// call makes one call about streams to a member.
func (streams *streams) call(ctx context.Context, memberID string, message streamMessage) (response streamMessage, err error) {
	request, err := json.Marshal(message)
	if err != nil {
		return response, err
	}
	data, err := streams.node.mesh.CallMember(ctx, memberID, append([]byte(streamsCall), request...))
	if err != nil {
		return response, err
	}
	err = json.Unmarshal(bytes.TrimPrefix(data, []byte(streamsCall)), &response)
	return response, err
}

// ask makes the same call to several members at once and passes the responses to handle, until that returns true, all members have
// responded or ctx ends. It returns the number of members that did not respond.
func (streams *streams) ask(ctx context.Context, memberIDs []string, message streamMessage, handle func(memberID string, response streamMessage) (done bool)) (silent int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		memberID string
		response streamMessage
		err      error
	}
	answers := make(chan answer, len(memberIDs))
	for _, memberID := range memberIDs {
		go func() {
			response, err := streams.call(ctx, memberID, message)
			answers <- answer{memberID: memberID, response: response, err: err}
		}()
	}
	for range memberIDs {
		answer := <-answers // the calls end with ctx
		if answer.err != nil {
			silent++
		} else if handle(answer.memberID, answer.response) {
			break
		}
	}
	return silent
}

// serve handles a call of a peer about streams.
func (streams *streams) serve(ctx context.Context, data []byte) (response []byte) {
	var message, answer streamMessage
	if err := json.Unmarshal(data, &message); err != nil {
		streams.node.Log.Warn("streams of a member could not be read", telemetry.Err(err))
		return nil // counts as no response
	}
	now := time.Now()
	streams.mutex.Lock()
	for _, begun := range message.Begun {
		stream := begun.decode(now)
		streams.registry.Put(stream)
		if streams.files.directory != "" {
			streams.files.add(stream)
		}
	}
	if message.Find != "" {
		if stream, ok := streams.registry.Find(now, message.Find); ok {
			answer.Begun = append(answer.Begun, encodeStream(now, stream))
		}
	}
	streams.mutex.Unlock()
	if message.Prove {
		proof := streams.prove(ctx, now, message.Service, time.Duration(message.WindowMS)*time.Millisecond)
		answer.Sole, answer.Proven, answer.ProofMS = proof.version, proof.ok, proof.asOf.Sub(now).Milliseconds()
	}
	response, _ = json.Marshal(answer) // strings and numbers only
	return append([]byte(streamsCall), response...)
}

// sole returns the only version that a service has had within a window before a time, as far as this process knows. The mutex must be held.
func (streams *streams) sole(at time.Time, service string, window time.Duration) (version string, ok bool) {
	if streams.node.ViewAge() > viewLag {
		return "", false
	}
	return streams.history.Sole(at, service, window)
}

// Evidence says why a version counts as the one that began a stream.
type Evidence string

// The kinds of evidence.
const (
	NoEvidence   Evidence = "none"
	OwnRecord    Evidence = "own record"
	MemberRecord Evidence = "member's record"
	OwnView      Evidence = "view"          // the service has had no other version
	MemberView   Evidence = "member's view" // another member's view shows that
	OwnList      Evidence = "list"          // no other version is known, and the caller has not named the stream
)

// FoundStream is the build that began a stream, and how it was found.
type FoundStream struct {
	Build    fleet.Build
	Record   resumption.Stream // if it is the evidence
	Evidence Evidence
	Source   string    // member whose evidence it is
	AsOf     time.Time // the view that is the evidence reflects the store at this time or later; zero if it is another kind of evidence
	Asked    int       // other members that were asked for a record
	Silent   int       // those of them that did not respond in time
	Unproven bool      // a proof could not be had for now: the store or members that may have one did not respond
}

// FindStream finds out which build began the stream of a request, whose ID is empty if the caller has not named it. service is that of
// the stream as far as is known, window is its largest age, and arrived is when the caller's request to take it up arrived.
func (node *Node) FindStream(ctx context.Context, requestID, service string, window time.Duration, arrived time.Time) (found FoundStream, ok bool) {
	streams := &node.streams
	if requestID == "" {
		return streams.findUnnamed(ctx, arrived, service, window)
	}
	streams.mutex.Lock()
	known, ok := streams.registry.Find(arrived, requestID)
	versions, _ := streams.history.Versions(arrived, service, window)
	streams.mutex.Unlock()
	if ok {
		return streams.fromRecord(known, OwnRecord, node.self.ID())
	}
	ctx, cancel := context.WithTimeout(ctx, longAsk+proofTimeout)
	defer cancel()
	fromRecord, fromProof := make(chan FoundStream, 1), make(chan FoundStream, 1)
	go func() { fromRecord <- streams.findRecord(ctx, requestID) }()
	if len(versions) > 1 { // nothing but a record tells them apart
		found = <-fromRecord
		return found, found.Evidence != NoEvidence
	}
	timer := time.NewTimer(shortAsk)
	defer timer.Stop()
	select {
	case found = <-fromRecord:
		if found.Evidence != NoEvidence {
			return found, true
		}
		fromRecord = nil
	case <-timer.C:
	}
	go func() { fromProof <- streams.findProof(ctx, service, window, arrived) }()
	for fromRecord != nil || fromProof != nil {
		var other FoundStream
		select {
		case other = <-fromRecord:
			fromRecord = nil
		case other = <-fromProof:
			fromProof = nil
		}
		other.Asked, other.Silent, other.Unproven = max(found.Asked, other.Asked), max(found.Silent, other.Silent), found.Unproven || other.Unproven
		if found = other; found.Evidence != NoEvidence {
			return found, true
		}
	}
	return found, false
}

// fromRecord returns the build that a record names, unless the engine may have had another one by then.
func (streams *streams) fromRecord(record resumption.Stream, evidence Evidence, source string) (found FoundStream, ok bool) {
	if record.Doubtful(streams.node.directory.engineCalled(record.Engine)) {
		return FoundStream{Evidence: NoEvidence, Source: source}, false
	}
	return FoundStream{Build: record.Build, Record: record, Evidence: evidence, Source: source}, true
}

// BegunElsewhere reports whether a stream that a request sent to an engine at a time began may be of another build than the engine was
// listed with, since the engine had started again.
func (node *Node) BegunElsewhere(engine fleet.Engine, sent time.Time) bool {
	stream := resumption.Stream{Build: engine.Build(), Engine: engine.ID, StartUnixMilli: engine.StartUnixMilli, SentUnixMilli: sent.UnixMilli()}
	return stream.Doubtful(node.directory.engineCalled(engine.ID))
}

// findRecord asks other members for the record of a stream.
func (streams *streams) findRecord(ctx context.Context, requestID string) (found FoundStream) {
	ctx, cancel := context.WithTimeout(ctx, longAsk)
	defer cancel()
	asked := streams.holders(requestID, streamAsked)
	found = FoundStream{Evidence: NoEvidence, Asked: len(asked)}
	found.Silent = streams.ask(ctx, asked, streamMessage{Find: requestID}, func(memberID string, response streamMessage) (done bool) {
		if len(response.Begun) == 0 {
			return false
		}
		known, _ := streams.fromRecord(response.Begun[0].decode(time.Now()), MemberRecord, memberID)
		known.Asked = found.Asked
		found = known
		return true
	})
	return found
}

// findProof finds the only version that a service has had, by the view of this process or, if it has not run for long enough, of others.
func (streams *streams) findProof(ctx context.Context, service string, window time.Duration, arrived time.Time) (found FoundStream) {
	self := streams.node.self.ID()
	streams.mutex.Lock()
	_, whole := streams.history.Versions(arrived, service, window)
	streams.mutex.Unlock()
	if whole {
		proof := streams.prove(ctx, arrived, service, window)
		if proof.ok {
			return FoundStream{Build: fleet.Build{Service: service, Version: proof.version}, Evidence: OwnView, Source: self, AsOf: proof.asOf}
		}
		return FoundStream{Evidence: NoEvidence, Unproven: proof.asOf.IsZero()}
	}
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	asked := time.Now()
	found = FoundStream{Evidence: NoEvidence}
	message := streamMessage{Prove: true, Service: service, WindowMS: window.Milliseconds()}
	silent := streams.ask(ctx, streams.holders("", streamProvers), message, func(memberID string, response streamMessage) (done bool) {
		if response.Proven {
			build := fleet.Build{Service: service, Version: response.Sole}
			found = FoundStream{Build: build, Evidence: MemberView, Source: memberID, AsOf: asked.Add(time.Duration(response.ProofMS) * time.Millisecond)}
		}
		return response.Proven
	})
	found.Unproven = silent > 0
	return found
}

// findUnnamed finds the build of a stream whose caller has not named the request that began it. Such callers do not know of software
// versions, and are served where the service has had one version only, as far as is known since the request arrived. While the store is
// away, that is as far as is known at all: no view of it is newer.
func (streams *streams) findUnnamed(ctx context.Context, arrived time.Time, service string, window time.Duration) (found FoundStream, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, longAsk)
	defer cancel()
	var versions []string
	asOf, newer := streams.awaitView(ctx, arrived, func() (decided bool) {
		versions, _ = streams.history.Versions(arrived, service, window)
		return len(versions) > 1
	})
	if !newer {
		asOf = arrived.Add(-streams.node.ViewAge())
	}
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	if versions, _ = streams.history.Versions(arrived, service, window); len(versions) != 1 {
		return FoundStream{Evidence: NoEvidence}, false
	}
	return FoundStream{Build: fleet.Build{Service: service, Version: versions[0]}, Evidence: OwnList, Source: streams.node.self.ID(), AsOf: asOf}, true
}

// Serves reports whether an engine of a build takes requests.
func (node *Node) Serves(build fleet.Build) bool {
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	return node.pool.Serves(time.Now(), build)
}
