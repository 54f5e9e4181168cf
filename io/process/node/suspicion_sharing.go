package node

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/io/process/telemetry"
)

const (
	// suspicionCall starts a call between members that passes on suspicions; calls to the store are JSON objects.
	suspicionCall = "suspicions\n"
	shareTimeout  = time.Second // of one attempt to tell a peer
	shareAttempts = 3           // a peer that was not told by then reads the store
)

// suspicionSet is what members tell each other about requests under which engines ended.
type suspicionSet struct {
	Ends       []poisonpill.EngineEnd `json:"ends,omitempty"`
	Clearances []poisonpill.Clearance `json:"clearances,omitempty"`

	trials []trial // only read from the store
}

// serveCall serves a call of a peer: it merges suspicions, keeps and finds streams, grants tokens, and passes on calls to the store.
func (node *Node) serveCall(ctx context.Context, request []byte) (response []byte) {
	if data, ok := bytes.CutPrefix(request, []byte(streamsCall)); ok {
		return node.streams.serve(ctx, data)
	}
	if data, ok := bytes.CutPrefix(request, []byte(limitCall)); ok {
		return node.serveLimitAsk(data)
	}
	if data, ok := bytes.CutPrefix(request, []byte(accountLimitCall)); ok {
		return node.accountLimits.serve(data)
	}
	data, ok := bytes.CutPrefix(request, []byte(suspicionCall))
	if !ok {
		return node.relay.Serve(ctx, request)
	}
	var told suspicionSet
	if err := json.Unmarshal(data, &told); err != nil {
		node.Log.Warn("suspicions of a member could not be read", telemetry.Err(err))
	}
	node.quarantine.merge(told)
	return []byte(suspicionCall)
}

// merge applies what a peer has told.
func (quarantine *quarantine) merge(told suspicionSet) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	for _, end := range told.Ends {
		quarantine.vouchAgainst(end, false)
		if _, saved := quarantine.saved[quarantine.endKey(end)]; quarantine.add(end) && !saved {
			quarantine.keepForPeer(end)
		}
	}
	for _, clearance := range told.Clearances {
		quarantine.clear(clearance, "another member cleared it")
	}
}

// keepForPeer writes an end that a peer has told to the store after some time, unless the view shows it by then: the peer may be
// lost before it has written it, or has told all others. The mutex must be held.
func (quarantine *quarantine) keepForPeer(end poisonpill.EngineEnd) {
	due := time.Now().Add(peerSaveDelay + rand.N(peerSaveDelay))
	if quarantine.told = append(quarantine.told, toldEnd{EngineEnd: end, due: due}); len(quarantine.told) > maxUnsavedEnds {
		quarantine.told = quarantine.told[1:]
	}
	quarantine.requestFlush()
}

// greet tells a member that has connected of all engine ends that count, and of the streams whose records it keeps.
func (node *Node) greet(ctx context.Context, memberID string) {
	node.quarantine.mutex.Lock()
	known := suspicionSet{Ends: node.quarantine.ledger.All(time.Now())}
	node.quarantine.mutex.Unlock()
	if len(known.Ends) > 0 {
		node.tell(ctx, []string{memberID}, known)
	}
	node.streams.greet(memberID)
}

// tell sends suspicions to members. A member that can't be reached reads them from the store, or is told when it connects.
func (node *Node) tell(ctx context.Context, memberIDs []string, known suspicionSet) {
	message, err := json.Marshal(known)
	if err != nil {
		node.Log.Error("suspicions could not be encoded", telemetry.Err(err))
		return
	}
	message = append([]byte(suspicionCall), message...)
	var group sync.WaitGroup
	for _, memberID := range memberIDs {
		group.Go(func() {
			for range shareAttempts {
				if err := node.tellMember(ctx, memberID, message); err == nil {
					return
				}
			}
		})
	}
	group.Wait()
}

// tellMember makes one attempt to send an encoded message about suspicions to a member.
func (node *Node) tellMember(ctx context.Context, memberID string, message []byte) (err error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if _, err = node.mesh.CallMember(ctx, memberID, message); err != nil {
		node.Log.Info("member not told of suspicions", zap.String("member", memberID), telemetry.Err(err))
	}
	return err
}

// runSharing tells peers of new suspicions until ctx ends.
func (quarantine *quarantine) runSharing(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-quarantine.wakeShare:
			quarantine.share(ctx)
		}
	}
}

// share tells all connected members of the suspicions that are new, without waiting for them. told is closed once they have
// been told of these, or of those shared before if there are no new ones.
func (quarantine *quarantine) share(ctx context.Context) (told <-chan struct{}) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	known := quarantine.unshared
	if len(known.Ends)+len(known.Clearances) == 0 {
		return quarantine.shared
	}
	done := make(chan struct{})
	quarantine.unshared, quarantine.shared = suspicionSet{}, done
	go func() { // a peer that does not answer delays no other suspicion
		defer close(done)
		quarantine.node.tell(ctx, quarantine.node.mesh.Connected(), known)
	}()
	return done
}

// shareWithin tells all connected members of the suspicions that are new, and waits for them for at most limit.
func (quarantine *quarantine) shareWithin(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-quarantine.share(context.WithoutCancel(ctx)):
	case <-timer.C:
	}
}
