package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"cowslipway/core/coordination/accountlimit"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/routes"
	"cowslipway/io/process/telemetry"
)

// accountLimitCall starts a call between members that asks the owner of an account's limit for a token.
const accountLimitCall = "accountlimit\n"

// accountLimits is the part of this process in the limits of accounts.
type accountLimits struct {
	node *Node

	mutex   sync.Mutex
	limiter accountlimit.Limiter
}

// init sets up the limits of accounts from the settings.
func (limits *accountLimits) init(node *Node) {
	settings := node.Settings
	limits.node = node
	limits.limiter = accountlimit.Limiter{
		Self:   settings.Name,
		Bounds: accountlimit.Bounds{Window: settings.LimitWindow.Duration(), Overshoot: settings.LimitOvershoot, Slack: settings.LimitSlack},
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// setMembers applies the registered members, of a view of the store that is as it was at asOf. resumed reports whether an earlier process of
// this VM was registered when this one started.
func (limits *accountLimits) setMembers(asOf time.Time, members []fleet.Member, resumed bool) {
	var names []string
	for _, member := range members {
		if member.Role == fleet.IngressRole {
			names = append(names, member.Name)
		}
	}
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	limits.limiter.Resumed = resumed
	limits.limiter.SetMembers(time.Now(), asOf, names)
}

// register records that the member record of this process lasts until a time at least.
func (limits *accountLimits) register(until time.Time) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	limits.limiter.Register(until)
}

// confirm records that the view of the store was current at asOf.
func (limits *accountLimits) confirm(asOf time.Time) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	limits.limiter.Confirm(asOf)
}

// configured returns an account of the configuration.
func (limits *accountLimits) configured(name string) (account routes.Account, ok bool) {
	table := limits.node.Table()
	if table == nil {
		return account, false
	}
	index, ok := slices.BinarySearchFunc(table.Accounts, name, func(account routes.Account, name string) int { return strings.Compare(account.Name, name) })
	if !ok {
		return account, false
	}
	return table.Accounts[index], true
}

// AdmitAccount decides whether the limit of an account admits another request. It waits for the owners of the limit, which takes a few
// milliseconds; for a part of timeout, if they can't tell yet.
func (node *Node) AdmitAccount(ctx context.Context, account routes.Account, timeout time.Duration) (claim *accountlimit.Claim) {
	limits := &node.accountLimits
	limits.mutex.Lock()
	claim = limits.limiter.Begin(time.Now(), account, timeout)
	decided, ask := claim.Decided, claim.Next
	limits.mutex.Unlock()
	if claim.Unlimited {
		return claim
	}
	switch {
	case !decided:
		limits.pursue(ctx, claim, ask, true)
	case ask != nil:
		go limits.pursue(context.WithoutCancel(ctx), claim, ask, false)
	}
	return claim
}

// ReturnAdmission returns the token of a request that was not sent to an engine.
func (node *Node) ReturnAdmission(claim *accountlimit.Claim) {
	if claim.Unlimited {
		return
	}
	limits := &node.accountLimits
	limits.mutex.Lock()
	limits.limiter.Return(time.Now(), claim)
	ask := claim.Next
	limits.mutex.Unlock()
	if ask != nil {
		go limits.pursue(context.Background(), claim, ask, false)
	}
}

// AccountAdmission returns the decision on a claim.
func (node *Node) AccountAdmission(claim *accountlimit.Claim) (admission accountlimit.Admission) {
	node.accountLimits.mutex.Lock()
	defer node.accountLimits.mutex.Unlock()
	return claim.Admission
}

// pursue passes the asks of a claim to their owners, one after the other. waiting reports whether the request waits for a token.
func (limits *accountLimits) pursue(ctx context.Context, claim *accountlimit.Claim, ask *accountlimit.Ask, waiting bool) {
	for waiting || ask != nil {
		if ask == nil {
			waiting, ask = limits.askAgain(ctx, claim)
			continue
		}
		timeout := limits.limiter.Bounds.PayTimeout()
		if waiting {
			timeout = limits.limiter.Bounds.AskTimeout()
		}
		grant := limits.ask(ctx, timeout, *ask)
		telemetry.AccountLimitAsks.Add(grant.Outcome.String(), 1)
		limits.mutex.Lock()
		if waiting && ctx.Err() != nil && grant.Outcome != accountlimit.Granted { // the caller is gone, which says nothing of the owner
			limits.limiter.Abandon(time.Now(), claim)
		} else {
			limits.limiter.Answer(time.Now(), claim, *ask, grant)
		}
		waiting, ask = !claim.Decided, claim.Next
		limits.mutex.Unlock()
	}
}

// askAgain goes on with a claim when it is time to, unless the caller is gone.
func (limits *accountLimits) askAgain(ctx context.Context, claim *accountlimit.Claim) (waiting bool, ask *accountlimit.Ask) {
	limits.mutex.Lock()
	delay := time.Until(claim.AskAt)
	limits.mutex.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	if ctx.Err() != nil {
		limits.limiter.Abandon(time.Now(), claim)
	} else {
		limits.limiter.AskAgain(time.Now(), claim)
	}
	return !claim.Decided, claim.Next
}

// ask passes an ask to its owner, which may be this process.
func (limits *accountLimits) ask(ctx context.Context, timeout time.Duration, ask accountlimit.Ask) (grant accountlimit.Grant) {
	if ask.Owner == limits.node.Settings.Name {
		return limits.grant(ask)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message, err := json.Marshal(ask)
	if err != nil {
		return grant
	}
	response, err := limits.node.mesh.CallMember(ctx, limits.node.directory.memberID(fleet.IngressRole, ask.Owner), append([]byte(accountLimitCall), message...))
	if err != nil || json.Unmarshal(response, &grant) != nil {
		return accountlimit.Grant{}
	}
	return grant
}

// grant responds to an ask for an account whose limit this process owns.
func (limits *accountLimits) grant(ask accountlimit.Ask) (grant accountlimit.Grant) {
	account, known := limits.configured(ask.Account)
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	return limits.limiter.Serve(time.Now(), ask, account, known)
}

// serve responds to a member that asks for a token or returns one.
func (limits *accountLimits) serve(data []byte) (response []byte) {
	var ask accountlimit.Ask
	if err := json.Unmarshal(data, &ask); err != nil {
		limits.node.Log.Warn("a member's ask for a token of an account could not be read", telemetry.Err(err))
		return nil
	}
	response, err := json.Marshal(limits.grant(ask))
	if err != nil {
		limits.node.Log.Error("the response to an ask for a token of an account could not be encoded", telemetry.Err(err))
	}
	return response
}
