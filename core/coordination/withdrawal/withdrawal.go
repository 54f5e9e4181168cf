package withdrawal

import "time"

const (
	// trustedShare is the share of the bound for which a configuration is trusted after its proof. A request that is sent on
	// then was sent by its caller within the bound; the rest is for clocks that do not run alike.
	trustedShare = 0.9
	// absenceTrusted is the age up to which a configuration proves that a key or a route does not exist. New keys have to work within
	// 3 s and new routes within 2 s; a view that is kept current is less than a second old.
	absenceTrusted = 2 * time.Second
)

// Verdict says what becomes of a call with a key.
type Verdict uint8

// The verdicts.
const (
	Allow   Verdict = iota
	Unknown         // the configuration has no such key
	Stale           // the proof of the configuration is too old to tell
)

var verdictNames = [...]string{Allow: "allowed", Unknown: "unknown key", Stale: "configuration too old"}

// String returns the name of verdict in logs and metrics.
func (verdict Verdict) String() string { return verdictNames[verdict] }

// Policy says how long a configuration is trusted. The zero value trusts the keys that it holds without limit.
type Policy struct {
	Bound time.Duration // time after which no request may run for a withdrawn key, on any VM; 0 means none
}

// Decide decides about a call, or one attempt of it, whose key is held by an account or not in a configuration proven to have
// been the newest proofAge ago.
func (policy Policy) Decide(held bool, proofAge time.Duration) Verdict {
	switch {
	case policy.Bound > 0 && proofAge >= time.Duration(float64(policy.Bound)*trustedShare):
		return Stale
	case held:
		return Allow
	case !ProvesAbsence(proofAge):
		return Stale
	}
	return Unknown
}

// ProvesAbsence reports whether a configuration proven to have been the newest proofAge ago shows that what it lacks does not exist.
func ProvesAbsence(proofAge time.Duration) bool { return proofAge < absenceTrusted }
