package retry

import "sync/atomic"

// thousandthsPerRetry converts retries to the unit in which a Budget counts. It counts in thousandths of a retry, since a
// deposit is usually less than one retry and the atomic counter holds whole numbers.
const thousandthsPerRetry = 1000

// Budget limits retries to a share of the first attempts, so that the load on a failing place does not multiply. It is a
// token bucket and safe for concurrent use.
type Budget struct {
	Share float64 // retries allowed per first attempt, such as 0.1
	Burst int     // capacity in retries; the budget starts full

	spent atomic.Int64 // used part of Burst, in thousandths of a retry
}

// Deposit adds Share of a retry to the budget. It is called for each first attempt.
func (budget *Budget) Deposit() {
	gain := int64(budget.Share * thousandthsPerRetry)
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
		if spent+thousandthsPerRetry > int64(budget.Burst)*thousandthsPerRetry {
			return false
		}
		if budget.spent.CompareAndSwap(spent, spent+thousandthsPerRetry) {
			return true
		}
	}
}
