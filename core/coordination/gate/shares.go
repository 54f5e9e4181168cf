package gate

import "time"

const shareMemory = 5 * time.Second // since an account's last arrival, for which it counts for the others' shares

// shares knows how much of an engine each client account has in use.
type shares struct {
	usages  map[string]*usage
	weights float64 // of all of them
}

type usage struct {
	weight  float64
	running int
	seen    time.Time
}

func (shares *shares) arrive(now time.Time, account string, weight float64) {
	if shares.usages == nil {
		shares.usages = map[string]*usage{}
	}
	known, ok := shares.usages[account]
	if !ok {
		known = &usage{}
		shares.usages[account] = known
	}
	if weight <= 0 {
		weight = 1
	}
	shares.weights += weight - known.weight
	known.weight, known.seen = weight, now
}

func (shares *shares) begin(account string) {
	if known, ok := shares.usages[account]; ok {
		known.running++
	}
}

func (shares *shares) end(account string) {
	if known, ok := shares.usages[account]; ok {
		known.running--
	}
}

// exceeds reports whether account has its share of slots or more in use.
func (shares *shares) exceeds(account string, slots int) bool {
	known, ok := shares.usages[account]
	return ok && float64(known.running) >= float64(slots)*known.weight/shares.weights
}

func (shares *shares) accounts() int { return len(shares.usages) }

// sweep forgets the accounts that were not seen for a while.
func (shares *shares) sweep(now time.Time) {
	for account, known := range shares.usages {
		if known.running == 0 && now.Sub(known.seen) > shareMemory {
			shares.weights -= known.weight
			delete(shares.usages, account)
		}
	}
}
