package retry

import "sync/atomic"

// milliTokens is the resolution of a budget.
const milliTokens = 1000

// Budget bounds retries to a share of first attempts, so that a failing place cannot multiply its load.
type Budget struct {
	Share float64 // retries allowed for each first attempt, such as 0.1
	Burst int     // retries allowed after a quiet time

	spent atomic.Int64 // in thousandths, from 0 (all of Burst is left) up to Burst
}

// Deposit records a first attempt.
func (budget *Budget) Deposit() {
	gain := int64(budget.Share * milliTokens)
	for {
		spent := budget.spent.Load()
		if spent == 0 || budget.spent.CompareAndSwap(spent, max(0, spent-gain)) {
			return
		}
	}
}

// Withdraw uses up one retry; it reports whether the budget allows it.
func (budget *Budget) Withdraw() (ok bool) {
	for {
		spent := budget.spent.Load()
		if spent+milliTokens > int64(budget.Burst)*milliTokens {
			return false
		}
		if budget.spent.CompareAndSwap(spent, spent+milliTokens) {
			return true
		}
	}
}
