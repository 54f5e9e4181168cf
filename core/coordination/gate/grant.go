package gate

import "time"

// DefaultGrantLifetime bounds how long a paused or misled entry can still start batch work.
const DefaultGrantLifetime = 2 * time.Second

// Grant allows one entry to start a number of batch items for a short time.
type Grant struct {
	ID       uint64
	Slots    int
	Lifetime time.Duration
}

// Grants keeps the grants of one target that are neither used up nor expired.
type Grants struct {
	Lifetime time.Duration
	NextID   uint64 // differs between incarnations, so that an old grant is never taken for a new one

	open map[uint64]openGrant
}

type openGrant struct {
	entry   string
	slots   int
	expires time.Time
}

// Issue records a new grant of slots to entry.
func (grants *Grants) Issue(now time.Time, entry string, slots int) Grant {
	if grants.open == nil {
		grants.open = map[uint64]openGrant{}
	}
	if grants.Lifetime == 0 {
		grants.Lifetime = DefaultGrantLifetime
	}
	grants.NextID++
	grants.open[grants.NextID] = openGrant{entry: entry, slots: slots, expires: now.Add(grants.Lifetime)}
	return Grant{ID: grants.NextID, Slots: slots, Lifetime: grants.Lifetime}
}

// Consume takes one slot of a grant; it reports whether the grant was live and entry's own.
func (grants *Grants) Consume(now time.Time, id uint64, entry string) (ok bool) {
	grant, ok := grants.open[id]
	if !ok || grant.entry != entry || !now.Before(grant.expires) {
		return false
	}
	grant.slots--
	grants.open[id] = grant
	if grant.slots == 0 {
		delete(grants.open, id)
	}
	return true
}

// Expire forgets the grants whose time is over.
func (grants *Grants) Expire(now time.Time) {
	for id, grant := range grants.open {
		if !now.Before(grant.expires) {
			delete(grants.open, id)
		}
	}
}

// Revoke forgets the grants of entry.
func (grants *Grants) Revoke(entry string) {
	for id, grant := range grants.open {
		if grant.entry == entry {
			delete(grants.open, id)
		}
	}
}

// Outstanding returns the number of granted slots that are not used yet.
func (grants *Grants) Outstanding() (slots int) {
	for _, grant := range grants.open {
		slots += grant.slots
	}
	return slots
}

// OutstandingFor returns the number of granted slots that entry has not used yet.
func (grants *Grants) OutstandingFor(entry string) (slots int) {
	for _, grant := range grants.open {
		if grant.entry == entry {
			slots += grant.slots
		}
	}
	return slots
}
