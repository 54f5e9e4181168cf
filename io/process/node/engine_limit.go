package node

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
	"cowslipway/io/port"
	"cowslipway/io/process/telemetry"
)

const (
	// limitCall starts a call between members that asks the owner of an engine's limit for tokens.
	limitCall = "limit\n"
	// limitCallTimeout limits a call; a member responds within a few milliseconds.
	limitCallTimeout = 300 * time.Millisecond
)

// limitAsk is the message of a call for tokens.
type limitAsk struct {
	Engine uint64     `json:"engine"`
	Known  knownLimit `json:"known"`
	Count  int        `json:"count"`
	Batch  bool       `json:"batch,omitempty"`
	Urgent bool       `json:"urgent,omitempty"`
}

// limitGrant is the response to a call for tokens.
type limitGrant struct {
	Known  knownLimit      `json:"known"`
	Tokens []time.Duration `json:"tokens,omitempty"`
	Retry  time.Duration   `json:"retry,omitempty"`
}

// knownLimit is a limit as a member knows it. It has an age instead of a time, since the clocks of members differ.
type knownLimit struct {
	Rate   float64       `json:"rate"`
	Lifted bool          `json:"lifted,omitempty"`
	Known  bool          `json:"known"`
	Age    time.Duration `json:"age"`
}

// encodeLimit returns limit as a message has it.
func encodeLimit(now time.Time, limit placement.Limit) (known knownLimit) {
	return knownLimit{Rate: limit.Rate, Lifted: limit.Lifted, Known: !limit.At.IsZero(), Age: now.Sub(limit.At)}
}

// decode returns the limit that a message has.
func (known knownLimit) decode(now time.Time) (limit placement.Limit) {
	if !known.Known {
		return limit
	}
	return placement.Limit{Rate: known.Rate, Lifted: known.Lifted, At: now.Add(-max(0, known.Age))}
}

// recordLimit records what the head of a response says about the limit of its engine, and logs changes. sent is when the request was sent.
func (node *Node) recordLimit(now, sent time.Time, engine fleet.Engine, head port.ResponseHead) {
	if head.LimitUnreadable {
		node.Log.Warn("engine's limit ignored", zap.String("engine", engine.Incarnation()), zap.String("request", head.RequestID))
		return
	}
	node.placementMutex.Lock()
	news := node.pool.RecordLimit(now, sent, engine, head.Limit, head.HasLimit)
	notice, ok := node.pool.LimitNotice(engine)
	if news && !head.HasLimit {
		node.deliver(node.pool.ProcessQueue(now))
	}
	node.placementMutex.Unlock()
	if !news {
		return
	}
	node.logLimit(engine.Incarnation(), placement.Limit{Rate: head.Limit, Lifted: !head.HasLimit, At: now}, "response")
	if ok && !head.HasLimit { // a limit that is named is passed on with the next ask
		go node.askForTokens(notice)
	}
}

// logLimit logs that the limit of an engine has changed, as source says.
func (node *Node) logLimit(engine string, limit placement.Limit, source string) {
	node.Log.Info("engine's limit changed", zap.String("engine", engine), zap.Float64("limit", limit.Rate), zap.Bool("lifted", limit.Lifted),
		zap.String("source", source), zap.Duration("age", time.Since(limit.At)))
}

// acquireTokens asks the owners of limits for the tokens that this process wants now.
func (node *Node) acquireTokens(now time.Time) {
	node.placementMutex.Lock()
	asks := node.pool.LimitAsks(now)
	own := false
	for _, ask := range asks {
		if ask.Owner == node.self.ID() {
			node.applyGrant(now, ask, node.pool.GrantTokens(now, ask), true)
			own = true
		}
	}
	if own {
		node.deliver(node.pool.ProcessQueue(now))
	}
	node.placementMutex.Unlock()
	for _, ask := range asks {
		if ask.Owner != node.self.ID() {
			go node.askForTokens(ask)
		}
	}
}

// askForTokens asks the owner of a limit for tokens and applies its response.
func (node *Node) askForTokens(ask placement.LimitAsk) {
	ctx, cancel := context.WithTimeout(context.Background(), limitCallTimeout)
	defer cancel()
	message, err := json.Marshal(limitAsk{Engine: ask.Engine, Known: encodeLimit(time.Now(), ask.Limit), Count: ask.Count, Batch: ask.Batch, Urgent: ask.Urgent})
	var response []byte
	if err == nil {
		response, err = node.mesh.CallMember(ctx, ask.Owner, append([]byte(limitCall), message...))
	}
	var received limitGrant
	if err == nil {
		err = json.Unmarshal(response, &received)
	}
	if err != nil {
		node.Log.Info("owner of a limit did not respond", zap.String("member", ask.Owner), telemetry.Err(err))
	}
	now := time.Now()
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	node.applyGrant(now, ask, placement.LimitGrant{Limit: received.Known.decode(now), Tokens: received.Tokens, Retry: received.Retry}, err == nil)
	node.deliver(node.pool.ProcessQueue(now))
}

// applyGrant applies the response of the owner of a limit. placementMutex must be held.
func (node *Node) applyGrant(now time.Time, ask placement.LimitAsk, grant placement.LimitGrant, responded bool) {
	outcome := "none"
	switch {
	case !responded:
		outcome = "no response"
	case len(grant.Tokens) > 0:
		outcome = "granted"
	}
	telemetry.LimitAsks.Add(outcome, 1)
	if node.pool.ApplyGrant(now, ask, grant, responded) {
		node.logLimit(node.pool.EngineName(ask.Engine), grant.Limit, ask.Owner)
	}
}

// serveLimitAsk responds to a member that asks for tokens of a limit that this process owns.
func (node *Node) serveLimitAsk(data []byte) (response []byte) {
	var ask limitAsk
	if err := json.Unmarshal(data, &ask); err != nil {
		node.Log.Warn("a member's ask for tokens could not be read", telemetry.Err(err))
		return nil
	}
	now := time.Now()
	node.placementMutex.Lock()
	defer node.placementMutex.Unlock()
	grant := node.pool.GrantTokens(now, placement.LimitAsk{Engine: ask.Engine, Limit: ask.Known.decode(now), Count: ask.Count, Batch: ask.Batch, Urgent: ask.Urgent})
	response, err := json.Marshal(limitGrant{Known: encodeLimit(now, grant.Limit), Tokens: grant.Tokens, Retry: grant.Retry})
	if err != nil {
		node.Log.Error("tokens could not be encoded", telemetry.Err(err))
	}
	return response
}
