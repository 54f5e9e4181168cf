package gate

import "time"

// DefaultGrantLifetime is the lifetime of a grant if Grants sets none. It bounds how long an entry that is paused
// or acts on outdated state can still start batch work.
const DefaultGrantLifetime = 2 * time.Second

// Grant allows one entry to start up to Slots batch items within Lifetime.
type Grant struct {
	ID       uint64
	Slots    int
	Lifetime time.Duration
}

// Grants holds the outstanding grants of one target: those neither used up nor expired.
type Grants struct {
	Lifetime time.Duration // of each grant; 0 means DefaultGrantLifetime
	LastID   uint64        // ID of the last grant issued; each incarnation starts at another value, so old grants never match

	outstanding map[uint64]outstandingGrant
}

type outstandingGrant struct {
	entry   string
	slots   int // not consumed yet
	expires time.Time
}

// Issue creates a grant of slots for entry.
func (grants *Grants) Issue(now time.Time, entry string, slots int) Grant {
	if grants.outstanding == nil {
		grants.outstanding = map[uint64]outstandingGrant{}
	}
	if grants.Lifetime == 0 {
		grants.Lifetime = DefaultGrantLifetime
	}
	grants.LastID++
	grants.outstanding[grants.LastID] = outstandingGrant{entry: entry, slots: slots, expires: now.Add(grants.Lifetime)}
	return Grant{ID: grants.LastID, Slots: slots, Lifetime: grants.Lifetime}
}

// Consume takes one slot of grant id. It reports false if the grant is unknown, expired or not issued to entry.
func (grants *Grants) Consume(now time.Time, id uint64, entry string) (ok bool) {
	grant, ok := grants.outstanding[id]
	if !ok || grant.entry != entry || !now.Before(grant.expires) {
		return false
	}
	grant.slots--
	grants.outstanding[id] = grant
	if grant.slots == 0 {
		delete(grants.outstanding, id)
	}
	return true
}

// Expire removes the expired grants.
func (grants *Grants) Expire(now time.Time) {
	for id, grant := range grants.outstanding {
		if !now.Before(grant.expires) {
			delete(grants.outstanding, id)
		}
	}
}

// Revoke removes all grants of entry.
func (grants *Grants) Revoke(entry string) {
	for id, grant := range grants.outstanding {
		if grant.entry == entry {
			delete(grants.outstanding, id)
		}
	}
}

// Outstanding returns the number of granted slots that have not been consumed.
func (grants *Grants) Outstanding() (slots int) {
	for _, grant := range grants.outstanding {
		slots += grant.slots
	}
	return slots
}

// OutstandingFor returns the number of slots granted to entry that have not been consumed.
func (grants *Grants) OutstandingFor(entry string) (slots int) {
	for _, grant := range grants.outstanding {
		if grant.entry == entry {
			slots += grant.slots
		}
	}
	return slots
}
