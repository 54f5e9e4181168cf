package accountlimit

import (
	"math/rand/v2"
	"slices"
	"time"

	"cowslipway/core/state/routes"
)

const (
	// silentDelay is the time for which an owner is not asked again that did not respond or does not grant; it doubles up to maxSilentDelay.
	silentDelay    = 250 * time.Millisecond
	maxSilentDelay = time.Second
	// minRetryAfter is the shortest delay after which a caller is told to retry.
	minRetryAfter = 20 * time.Millisecond
	// maxIdleAccounts is the number of accounts from which on those are forgotten of which nothing is to be remembered.
	maxIdleAccounts = 1024
	// maxTrustedSilences is the number of asks in a row without a grant or a refusal from which on a request no longer waits for an owner.
	maxTrustedSilences = 3
	// dueShare and silentShare are the parts of its time for which a request waits for tokens that are due, and for owners that can't tell
	// when. The rest is for the queue and the run, or for another try of the caller's.
	dueShare, silentShare = 0.5, 0.25
	// minWait is the shortest time after which a waiting request asks again.
	minWait = 50 * time.Millisecond
)

// Limiter admits the requests of accounts at one ingress and grants tokens as the owner of accounts' limits. It is not safe for concurrent
// use. The exported fields are set before use.
type Limiter struct {
	Self   string // name of this VM
	Bounds Bounds
	Random *rand.Rand
	// Resumed says, before members are first set, that the list names this VM since before this process started, so that what it owns now it
	// owned before.
	Resumed bool

	members membership
	listed  bool // a list has named this VM
	// registeredUntil is the time until which the list certainly names this VM; zero if that is not known.
	registeredUntil time.Time
	asOf            time.Time // of the view of the member list
	buckets         map[bucketKey]*bucket
	states          map[string]*state // by account
}

// state is what an ingress knows of an account.
type state struct {
	unpaid  []time.Time // when requests were sent that no token has paid for; oldest first
	shards  [maxShards]shardState
	usage   float64
	waiting int // claims that ask again later
}

// shardState is what an ingress knows of a part of an account's limit.
type shardState struct {
	left     float64   // tokens left at a time
	at       time.Time // of left
	askAfter time.Time // the owner need not be asked before
	silent   int       // asks in a row to which the owner neither granted a token nor said that there is none
	exceeded bool      // the owner has said last that the account has exceeded its limit
}

// Admission is the decision on a request of an account.
type Admission struct {
	Allowed    bool
	RetryAfter time.Duration // when the caller of a refused request should retry
	Usage      float64       // what the account has been granted lately, relative to its limit; as last known

	// Inputs of the decision, for the log.
	Unlimited bool
	Outcome   Outcome // of the last ask
	Owner     string  // that was asked last
	Asked     int     // owners
	Unpaid    int     // requests that this ingress has sent before a token was granted, in the last window
	Allowance int     // bound of Unpaid
	ViewAge   time.Duration
}

// Claim is the admission of one request, while tokens are sought for it and until it is known to have been sent.
type Claim struct {
	Admission

	// Decided reports whether the request need not wait any longer. Next is the ask to pass to its owner, and may also be set then.
	// A claim that is not decided and has no ask goes on with AskAgain at AskAt.
	Decided bool
	Next    *Ask
	AskAt   time.Time

	account  routes.Account
	begun    time.Time
	timeout  time.Duration // of the request, from begun on
	waiting  bool          // counted in state.waiting
	due      bool          // an owner has told the request to wait for the next token
	askedAt  time.Time     // of the last ask
	onCredit time.Time     // when the allowance was used; zero if it wasn't, or has been paid for
	tried    [maxShards]bool
	stamp    int64 // of the grant
	granted  Ask
	returned bool
}

// SetMembers records the names of the VMs with an ingress, from a view of the store that is as it was at asOf.
func (limiter *Limiter) SetMembers(now, asOf time.Time, names []string) {
	from := now
	if !limiter.listed && slices.Contains(names, limiter.Self) {
		limiter.listed = true
		if limiter.Resumed {
			limiter.members.lists = nil // views from before the member list was read
			from = now.Add(-maxViewAge)
		}
	}
	limiter.members.set(from, names)
	limiter.Confirm(asOf)
}

// Confirm records that the member list was the same at asOf.
func (limiter *Limiter) Confirm(asOf time.Time) {
	if asOf.After(limiter.asOf) {
		limiter.asOf = asOf
	}
}

// Register records that the list names this VM until a time at least. After it, another member may own the parts of this one.
func (limiter *Limiter) Register(until time.Time) { limiter.registeredUntil = until }

// mayHaveLeft reports whether the list may no longer name this VM.
func (limiter *Limiter) mayHaveLeft(now time.Time) bool {
	return !limiter.registeredUntil.IsZero() && !now.Before(limiter.registeredUntil)
}

// viewAge returns the largest possible age of the view of the member list.
func (limiter *Limiter) viewAge(now time.Time) time.Duration { return now.Sub(limiter.asOf) }

// allowance returns how many requests of an account this ingress may send per window before tokens are granted. An ingress that was
// listed lately has none until all others have reduced theirs.
func (limiter *Limiter) allowance(now time.Time, account routes.Account) int {
	since, ok := limiter.members.listedSince(limiter.Self)
	settled := now.Add(-limiter.Bounds.settleTime())
	if !ok || since.After(settled) || limiter.viewAge(now) > maxViewAge || limiter.mayHaveLeft(now) {
		return 0
	}
	return limiter.Bounds.allowance(account, limiter.members.count(settled))
}

// Begin decides on a request of an account, or returns a claim whose Next is to be asked first. The request may wait for a part of its
// timeout while no owner can tell yet whether the account has exceeded its limit.
func (limiter *Limiter) Begin(now time.Time, account routes.Account, timeout time.Duration) (claim *Claim) {
	claim = &Claim{account: account, begun: now, timeout: timeout}
	if account.Rate <= 0 || limiter.Bounds.Window <= 0 {
		claim.Decided, claim.Allowed, claim.Unlimited = true, true, true
		return claim
	}
	known := limiter.stateOf(now, account.Name)
	claim.Allowance, claim.ViewAge = limiter.allowance(now, account), limiter.viewAge(now)
	if len(known.unpaid) < claim.Allowance {
		known.unpaid = append(known.unpaid, now)
		claim.onCredit, claim.Decided, claim.Allowed = now, true, true
	}
	claim.Unpaid, claim.Usage = len(known.unpaid), known.usage
	limiter.next(now, claim, known)
	return claim
}

// stateOf returns the state of an account, without the requests that were sent before the window.
func (limiter *Limiter) stateOf(now time.Time, account string) (known *state) {
	known = limiter.states[account]
	if known == nil {
		limiter.forgetIdle(now)
		known = &state{}
		limiter.states[account] = known
	}
	known.expire(now, limiter.Bounds.Window)
	return known
}

// expire removes the requests that were sent before the window.
func (state *state) expire(now time.Time, window time.Duration) {
	for len(state.unpaid) > 0 && now.Sub(state.unpaid[0]) > window {
		state.unpaid = state.unpaid[1:]
	}
}

// forgetIdle forgets the accounts of which nothing is to be remembered.
func (limiter *Limiter) forgetIdle(now time.Time) {
	if limiter.states == nil {
		limiter.states = map[string]*state{}
	}
	if len(limiter.states)%maxIdleAccounts != maxIdleAccounts-1 {
		return
	}
	for account, known := range limiter.states {
		if known.expire(now, limiter.Bounds.Window); len(known.unpaid) == 0 && known.waiting == 0 {
			delete(limiter.states, account)
		}
	}
}

// next sets the next ask of a claim: to the owner that should have most tokens among those that were not asked yet. If there is none, a
// claim that is not decided is refused, or asks again later.
func (limiter *Limiter) next(now time.Time, claim *Claim, known *state) {
	claim.Next = nil
	if claim.Decided && (claim.returned || now.Sub(claim.onCredit) >= limiter.Bounds.PayTimeout()) {
		return // a token would be of no use
	}
	rate, capacity := limiter.Bounds.shardRate(claim.account), limiter.Bounds.shardCapacity(claim.account)
	best, bestLeft, shards := -1, 0.0, limiter.Bounds.shards(claim.account)
	first := limiter.Random.IntN(shards)
	for offset := range shards {
		index := (first + offset) % shards
		shard := &known.shards[index]
		if claim.tried[index] || now.Before(shard.askAfter) {
			continue
		}
		left := capacity
		if !shard.at.IsZero() {
			left = min(capacity, shard.left+now.Sub(shard.at).Seconds()*rate)
		}
		if best < 0 || left > bestLeft {
			best, bestLeft = index, left
		}
	}
	if best >= 0 {
		if owner := limiter.members.owner(claim.account.Name, best); owner != "" {
			claim.tried[best] = true
			claim.Owner = owner
			claim.Asked++
			claim.askedAt = now
			claim.Next = &Ask{Account: claim.account.Name, Shard: best, Owner: owner, Again: claim.due}
			return
		}
	}
	if claim.Decided {
		return
	}
	claim.RetryAfter = limiter.retryAfter(now, claim, known)
	if limiter.mayWait(now, claim, known) {
		claim.AskAt, claim.tried = now.Add(max(claim.RetryAfter, minWait)), [maxShards]bool{}
		if !claim.waiting {
			claim.waiting = true
			known.waiting++
		}
		return
	}
	claim.decide(known, false)
}

// mayWait reports whether a claim waits to ask again: for tokens that are missing since their buckets began empty, or while no owner can
// tell whether the account has exceeded its limit. No more requests wait than the limit could admit meanwhile.
func (limiter *Limiter) mayWait(now time.Time, claim *Claim, known *state) bool {
	share := dueShare
	if !claim.due {
		share = silentShare
		for _, shard := range known.shards[:limiter.Bounds.shards(claim.account)] {
			if shard.exceeded || shard.silent > maxTrustedSilences {
				return false
			}
		}
	}
	longest := time.Duration(share * float64(claim.timeout))
	if !claim.waiting && float64(known.waiting) >= max(1, claim.account.Rate*longest.Seconds()) {
		return false
	}
	return now.Add(max(claim.RetryAfter, minWait)).Before(claim.begun.Add(longest))
}

// decide ends the wait of a claim.
func (claim *Claim) decide(known *state, allowed bool) {
	claim.Decided, claim.Allowed = true, allowed
	if claim.waiting {
		claim.waiting = false
		known.waiting--
	}
}

// AskAgain goes on with a claim at its AskAt. Afterwards the claim is decided, or has a next ask or a later AskAt.
func (limiter *Limiter) AskAgain(now time.Time, claim *Claim) {
	if !claim.Decided {
		limiter.next(now, claim, limiter.stateOf(now, claim.account.Name))
	}
}

// Abandon refuses a claim that is not decided, since its caller is gone.
func (limiter *Limiter) Abandon(now time.Time, claim *Claim) {
	if !claim.Decided {
		claim.decide(limiter.stateOf(now, claim.account.Name), false)
	}
}

// retryAfter returns the time until the next token is due, or the allowance may be used again.
func (limiter *Limiter) retryAfter(now time.Time, claim *Claim, known *state) (wait time.Duration) {
	wait = limiter.Bounds.Window
	for _, shard := range known.shards[:limiter.Bounds.shards(claim.account)] {
		wait = min(wait, max(0, shard.askAfter.Sub(now)))
	}
	if claim.Allowance > 0 && len(known.unpaid) > 0 {
		wait = min(wait, known.unpaid[0].Add(limiter.Bounds.Window).Sub(now))
	}
	return max(wait, minRetryAfter)
}

// Answer applies the response to the ask of a claim. Afterwards the claim is decided, or has a next ask.
func (limiter *Limiter) Answer(now time.Time, claim *Claim, ask Ask, grant Grant) {
	claim.Next = nil
	if ask.Return != 0 {
		return
	}
	known := limiter.stateOf(now, claim.account.Name)
	shard := &known.shards[ask.Shard]
	claim.Outcome = grant.Outcome
	if grant.Outcome != Granted && grant.Outcome != Exceeded {
		shard.left, shard.at, shard.exceeded = 0, now, false
		shard.askAfter = now.Add(min(silentDelay<<min(shard.silent, 8), maxSilentDelay))
		shard.silent++
		limiter.next(now, claim, known)
		return
	}
	shard.left, shard.at, shard.silent, known.usage, claim.Usage = grant.Left, now, 0, grant.Usage, grant.Usage
	shard.exceeded = grant.Outcome == Exceeded && !grant.Due
	claim.due = claim.due || grant.Due
	if grant.Outcome == Granted {
		claim.stamp, claim.granted = grant.Stamp, ask
		limiter.pay(now, claim, known)
		return
	}
	shard.askAfter = now.Add(grant.Wait)
	limiter.next(now, claim, known)
}

// pay uses the token of a claim: for the request that waits for it, or in place of the allowance that was used.
func (limiter *Limiter) pay(now time.Time, claim *Claim, known *state) {
	switch {
	case claim.returned:
		claim.Next = limiter.returnAsk(now, claim)
	case !claim.Decided:
		claim.decide(known, true)
	case now.Sub(claim.onCredit) <= limiter.Bounds.PayTimeout():
		known.removeUnpaid(claim.onCredit)
		claim.onCredit = time.Time{}
	}
}

// removeUnpaid removes one request that was sent at a time.
func (state *state) removeUnpaid(sent time.Time) {
	for index, unpaid := range state.unpaid {
		if unpaid.Equal(sent) {
			state.unpaid = append(state.unpaid[:index:index], state.unpaid[index+1:]...)
			return
		}
	}
}

// Return records that the request of an admitted claim was not sent. The claim's Next is then set if its token can be returned.
func (limiter *Limiter) Return(now time.Time, claim *Claim) {
	if claim.Unlimited || claim.returned {
		return
	}
	claim.returned, claim.Next = true, nil
	if !claim.onCredit.IsZero() {
		limiter.stateOf(now, claim.account.Name).removeUnpaid(claim.onCredit)
	}
	if claim.stamp != 0 {
		claim.Next = limiter.returnAsk(now, claim)
	}
}

// returnAsk returns the ask that returns the token of a claim, or nil if its owner would not take it back.
func (limiter *Limiter) returnAsk(now time.Time, claim *Claim) *Ask {
	if now.Sub(claim.askedAt) > limiter.Bounds.part(returnShare) {
		return nil
	}
	ask := claim.granted
	ask.Return = claim.stamp
	return &ask
}
