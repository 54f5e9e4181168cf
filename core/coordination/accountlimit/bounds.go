package accountlimit

import (
	"time"

	"cowslipway/core/state/routes"
)

const (
	// minShards and maxShards are the numbers of parts into which the limit of an account is divided if there is slack: with one owner
	// lost, half or three quarters of the limit can still be granted.
	minShards, maxShards = 2, 4
	// shardRequests is the number of requests per window from which on an account gets one more part. Below it, the allowance of the
	// ingresses covers the rest of the usual demand while an owner is lost.
	shardRequests = 40
	// slackPerShard is the slack that has to be there for each part beyond the first, since parts of tokens are rounded up there.
	slackPerShard = 4
	// rateMargin is the share of the overshoot by which the buckets exceed the limit, for tokens that are lost on the way.
	rateMargin = 0.2
	// spanMargin is the share of overshoot x window by which the time of a grant may differ from that of its request in all: while an ask
	// is on its way, and as payShare and returnShare have it.
	spanMargin  = 0.8
	askShare    = 0.15 // of the span, for an ask that a request waits for
	payShare    = 0.2  // of the span, for a token that pays for a request that was sent already
	returnShare = 0.65 // of the span, within which a token can be returned
)

// Bounds says how far the requests of an account may exceed its limit: at most (rate x Window + burst) x (1 + Overshoot) + Slack requests
// in any Window.
type Bounds struct {
	Window    time.Duration // 0 means that limits don't hold
	Overshoot float64
	Slack     float64 // requests
}

// Requests returns the number of requests of an account that may be sent in any window.
func (bounds Bounds) Requests(account routes.Account) (requests float64) {
	return (account.Rate*bounds.Window.Seconds()+account.Burst)*(1+bounds.Overshoot) + bounds.Slack
}

// span returns by how much the time of a grant may differ from that of its request.
func (bounds Bounds) span() time.Duration {
	return time.Duration(spanMargin * bounds.Overshoot * float64(bounds.Window))
}

// part returns a share of the span.
func (bounds Bounds) part(share float64) time.Duration {
	return time.Duration(share * float64(bounds.span()))
}

// AskTimeout returns the timeout of an ask that a request waits for; of no use is a response after it.
func (bounds Bounds) AskTimeout() time.Duration { return bounds.part(askShare) }

// PayTimeout returns the timeout of an ask for a request that was sent already.
func (bounds Bounds) PayTimeout() time.Duration { return bounds.part(payShare) }

// settleTime returns the time from the start of an ingress until it has an allowance: all others have reduced theirs, and what its former
// process sent is out of the window.
func (bounds Bounds) settleTime() time.Duration { return maxViewAge + bounds.Window }

// shards returns the number of parts of an account's limit.
func (bounds Bounds) shards(account routes.Account) int {
	wanted := min(maxShards, minShards+int((account.Rate*bounds.Window.Seconds()+account.Burst)/shardRequests))
	return min(wanted, 1+int(bounds.Slack/slackPerShard))
}

// shardRate returns the tokens per second of each part of an account's limit.
func (bounds Bounds) shardRate(account routes.Account) float64 {
	return account.Rate * (1 + rateMargin*bounds.Overshoot) / float64(bounds.shards(account))
}

// shardCapacity returns the tokens that each part of an account's limit holds at most. All parts together hold the burst even if each has
// a part of a token that is of no use; a burst below one request would never grant any.
func (bounds Bounds) shardCapacity(account routes.Account) float64 {
	shards := bounds.shards(account)
	return (max(account.Burst, 1)*(1+rateMargin*bounds.Overshoot) + float64(shards-1)) / float64(shards)
}

// allowance returns the number of requests of an account that each of so many ingresses may send per window before they are granted. The
// sum of all allowances is what the buckets leave of the bound: they grant up to their capacity and what flows in during the window and
// the span.
func (bounds Bounds) allowance(account routes.Account, ingresses int) int {
	shards := float64(bounds.shards(account))
	granted := shards * (bounds.shardRate(account)*(bounds.Window+bounds.span()).Seconds() + bounds.shardCapacity(account))
	return max(0, int((bounds.Requests(account)-granted)/float64(max(1, ingresses))))
}
