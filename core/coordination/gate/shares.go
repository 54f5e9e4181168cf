package gate

import "time"

// idleAccountTimeout is the time after an account's last arrival for which it counts in the shares of the others.
const idleAccountTimeout = 5 * time.Second

// accountShares tracks how many slots of a target each client account uses for online work.
type accountShares struct {
	accounts    map[string]*accountUsage
	totalWeight float64 // sum of the weights in accounts
}

type accountUsage struct {
	weight      float64
	running     int // admitted online attempts that have not ended
	lastArrival time.Time
}

func (shares *accountShares) recordArrival(now time.Time, account string, weight float64) {
	if shares.accounts == nil {
		shares.accounts = map[string]*accountUsage{}
	}
	usage, ok := shares.accounts[account]
	if !ok {
		usage = &accountUsage{}
		shares.accounts[account] = usage
	}
	if weight <= 0 {
		weight = 1
	}
	shares.totalWeight += weight - usage.weight
	usage.weight, usage.lastArrival = weight, now
}

func (shares *accountShares) recordStart(account string) {
	if usage, ok := shares.accounts[account]; ok {
		usage.running++
	}
}

func (shares *accountShares) recordEnd(account string) {
	if usage, ok := shares.accounts[account]; ok {
		usage.running--
	}
}

// atShare reports whether account uses at least its weighted share of slots.
func (shares *accountShares) atShare(account string, slots int) bool {
	usage, ok := shares.accounts[account]
	return ok && float64(usage.running) >= float64(slots)*usage.weight/shares.totalWeight
}

func (shares *accountShares) count() int { return len(shares.accounts) }

// removeIdle removes the accounts that run nothing and had no arrival within idleAccountTimeout.
func (shares *accountShares) removeIdle(now time.Time) {
	for account, usage := range shares.accounts {
		if usage.running == 0 && now.Sub(usage.lastArrival) > idleAccountTimeout {
			shares.totalWeight -= usage.weight
			delete(shares.accounts, account)
		}
	}
}
