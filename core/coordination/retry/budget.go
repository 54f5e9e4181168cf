package retry

import "sync/atomic"

// milliTokens is the number of thousandths of a token in one retry.
const milliTokens = 1000

// Budget limits retries to a share of the first attempts, so that the load on a failing place does not multiply. It is a
// token bucket and safe for concurrent use.
type Budget struct {
	Share float64 // retries allowed per first attempt, such as 0.1
	Burst int     // capacity in retries; the budget starts full

	spent atomic.Int64 // used part of Burst, in thousandths of a retry
}

// Deposit adds Share of a retry to the budget. It is called for each first attempt.
func (budget *Budget) Deposit() {
	gain := int64(budget.Share * milliTokens)
	for {
		spent := budget.spent.Load()
		if spent == 0 || budget.spent.CompareAndSwap(spent, max(0, spent-gain)) {
			return
		}
	}
}

// Withdraw takes one retry from the budget. It reports false if less than one retry is left.
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
