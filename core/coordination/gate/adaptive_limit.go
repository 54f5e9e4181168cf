package gate

import "time"

const (
	mixedGrowthDivisor   = 8    // the limit grows by 1/8 while online and batch work both run and the capacity is unknown
	probeDivisor         = 32   // a probe raises the limit by 1/32 once the capacity is known
	minProbeInterval     = 20   // load reports from finding a new capacity to the first probe above it
	maxProbeInterval     = 600  // load reports; the interval doubles each time a probe finds the same capacity
	minFullReports       = 4    // consecutive load reports of a full engine that set the capacity
	minOverloadedReports = 2    // as minFullReports, but with a long queue while the limit is fully in use
	peakDecay            = 0.99 // factor on the peak of running requests, per load report
	longQueueDivisor     = 4    // a queue is long if it exceeds 1/4 of the running requests
)

// SlotLimit adapts the number of requests that may be at an engine at once to the number that the engine runs without
// queueing.
type SlotLimit struct {
	Min, Max int // bounds of the limit
	Start    int // initial limit

	limit             int     // 0 before the first use
	capacity          int     // requests that the engine is known to run at once; 0 if it was never found full
	reportsUntilProbe int     // load reports before the limit may grow again
	nextProbeInterval int     // load reports to wait after the engine is next found full
	fullReports       int     // consecutive load reports with a queue and an unchanged number of running requests
	lastRunning       int     // running requests in the last load report
	peak              float64 // most running requests in a load report, decaying by peakDecay
}

// Limit returns the number of requests that may be at the engine at once.
func (slotLimit *SlotLimit) Limit() int {
	if slotLimit.limit == 0 {
		slotLimit.limit = max(slotLimit.Start, slotLimit.Min, 1)
	}
	return slotLimit.limit
}

// Capacity returns the number of requests that the engine is known to run at once, or the limit if the engine was
// never found full. It does not exceed the limit.
func (slotLimit *SlotLimit) Capacity() int {
	if slotLimit.capacity > 0 {
		return min(slotLimit.capacity, slotLimit.Limit())
	}
	return slotLimit.Limit()
}

// Observe updates the limit from a load report with the engine's numbers of running and waiting requests.
// saturated reports whether the limit was recently fully in use. mixed reports whether online and batch work both run: the
// limit then grows in smaller steps, since a limit far too high would delay online work.
//
// A request waits for the engine's next step even if the engine can run more, so a queue alone does not show that
// the engine is full. A full engine runs the same number of requests in each load report, and was never observed
// to run more.
func (slotLimit *SlotLimit) Observe(running, waiting int, saturated, mixed bool) {
	limit := slotLimit.Limit()
	unchanged := running == slotLimit.lastRunning
	slotLimit.lastRunning = running
	slotLimit.peak = max(float64(running), slotLimit.peak*peakDecay)
	if running > slotLimit.capacity && slotLimit.capacity > 0 {
		slotLimit.capacity = running
	}
	if waiting > 0 && unchanged {
		slotLimit.fullReports++
	} else {
		slotLimit.fullReports = min(waiting, 1)
	}
	required := minFullReports
	if saturated && waiting*longQueueDivisor > running {
		required = minOverloadedReports
	}
	if slotLimit.fullReports >= required && running >= int(slotLimit.peak) && running > 0 && running < limit {
		slotLimit.setCapacity(running)
		return
	}
	if slotLimit.reportsUntilProbe > 0 {
		slotLimit.reportsUntilProbe--
		return
	}
	if saturated && waiting == 0 {
		slotLimit.grow(limit, mixed)
	}
}

// setCapacity makes the number of requests that a full engine runs its capacity and, within Min and Max, the limit.
func (slotLimit *SlotLimit) setCapacity(running int) {
	if running != slotLimit.capacity {
		slotLimit.nextProbeInterval = minProbeInterval
	}
	slotLimit.capacity, slotLimit.fullReports = running, 0
	slotLimit.reportsUntilProbe = slotLimit.nextProbeInterval
	slotLimit.nextProbeInterval = min(2*slotLimit.nextProbeInterval, maxProbeInterval)
	slotLimit.limit = max(slotLimit.Min, min(running, slotLimit.Max), 1)
}

// grow raises limit: in small steps once the capacity is known, in larger ones before if online and batch work both
// run, and to its double otherwise.
func (slotLimit *SlotLimit) grow(limit int, mixed bool) {
	growth := limit
	switch {
	case slotLimit.capacity > 0:
		growth = max(1, limit/probeDivisor)
	case mixed:
		growth = max(1, limit/mixedGrowthDivisor)
	}
	slotLimit.limit = min(max(slotLimit.Max, 1), limit+growth)
}

// Latency is the latency of online work in one control period.
type Latency struct {
	FirstToken time.Duration // 95th percentile of the time to the first token
	TokenGap   time.Duration // 95th percentile of the time between two tokens
	Samples    int           // 0 if no latency was measured
}

const (
	batchDecrease      = 0.7 // factor on the batch limit after a control period that exceeded a latency target
	batchIncreaseBelow = 0.9 // fraction of the latency targets below which the batch limit increases by 1
)

// BatchLimit limits batch work so that the latency of online work stays below its targets. In each control
// period the limit decreases by a factor, increases by 1 or stays.
type BatchLimit struct {
	FirstTokenTarget time.Duration // 0 means no target
	TokenTarget      time.Duration // for Latency.TokenGap; 0 means no target
	MaxSlowdown      float64       // largest factor on online token gaps due to batch work, such as 1.05; up to 1 means no bound

	current  float64 // batch requests that may run while online work runs
	observed bool    // current is set
	model    tokenGapModel
}

// Limit returns how many batch requests may run while online requests run, at most slots.
func (batchLimit *BatchLimit) Limit(online, slots int) int {
	if online == 0 || !batchLimit.observed {
		return slots
	}
	limit := min(slots, int(batchLimit.current))
	if batchLimit.MaxSlowdown > 1 {
		limit = min(limit, batchLimit.model.maxBatch(batchLimit.MaxSlowdown, online, slots))
	}
	return limit
}

// Observe updates the limit from the latency of one control period and the numbers of online and batch requests
// that run at its end.
func (batchLimit *BatchLimit) Observe(latency Latency, online, batch, slots int) {
	if latency.Samples == 0 || online == 0 {
		return
	}
	batchLimit.model.observe(online+batch, latency.TokenGap)
	if !batchLimit.observed {
		batchLimit.observed = true
		batchLimit.current = float64(slots)
	}
	if batchLimit.exceeds(latency, 1) {
		batchLimit.current = max(0, min(batchLimit.current, float64(batch))*batchDecrease)
		return
	}
	if !batchLimit.exceeds(latency, batchIncreaseBelow) {
		batchLimit.current = min(float64(slots), batchLimit.current+1)
	}
}

// exceeds reports whether latency is above fraction of a target.
func (batchLimit *BatchLimit) exceeds(latency Latency, fraction float64) bool {
	return exceedsTarget(latency.FirstToken, batchLimit.FirstTokenTarget, fraction) || exceedsTarget(latency.TokenGap, batchLimit.TokenTarget, fraction)
}

func exceedsTarget(value, target time.Duration, fraction float64) bool {
	return target > 0 && value > time.Duration(fraction*float64(target))
}

const (
	modelDecay       = 0.98 // factor on the weight of older samples, per sample
	modelMinVariance = 0.25 // least variance of the number of running requests from which the slope is estimated
	modelMinWeight   = 10   // least sum of the decayed sample weights from which the slope is estimated
)

// tokenGapModel fits the time between two tokens as a linear function of the number of requests at the engine, by
// least squares over exponentially decayed samples.
type tokenGapModel struct {
	weight, x, y, xx, xy float64 // decayed sums over the samples: 1, requests, seconds, requests², requests·seconds
}

func (model *tokenGapModel) observe(running int, gap time.Duration) {
	if gap <= 0 {
		return
	}
	x, y := float64(running), gap.Seconds()
	model.weight = model.weight*modelDecay + 1
	model.x = model.x*modelDecay + x
	model.y = model.y*modelDecay + y
	model.xx = model.xx*modelDecay + x*x
	model.xy = model.xy*modelDecay + x*y
}

// maxBatch returns how many batch requests, at most slots, lengthen the token gap of online requests by no more than
// the factor slowdown. It returns slots if the samples do not show that the gap grows with the number of requests.
func (model *tokenGapModel) maxBatch(slowdown float64, online, slots int) int {
	if model.weight < modelMinWeight {
		return slots
	}
	meanX, meanY := model.x/model.weight, model.y/model.weight
	variance := model.xx/model.weight - meanX*meanX
	if variance < modelMinVariance {
		return slots
	}
	slope := (model.xy/model.weight - meanX*meanY) / variance
	if slope <= 0 {
		return slots
	}
	intercept := max(0, meanY-slope*meanX)
	onlineGap := intercept + slope*float64(online)
	return max(0, min(slots, int((slowdown-1)*onlineGap/slope)))
}
