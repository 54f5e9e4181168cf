package gate

import "time"

const (
	gentleShare    = 8    // the limit grows by one part in so many while batch work fills it beside online work
	probeShare     = 32   // the limit is probed upwards by one part in so many, once it was too high
	firstHold      = 20   // reports between finding the limit and the first probe upwards
	longestHold    = 600  // reports; each probe that fails doubles the time to the next
	queuedReports  = 4    // in a row that show the same full engine, from which on it counts as full
	crowdedReports = 2    // likewise where its queue is long
	peakFade       = 0.99 // of the most seen running, from one report to the next
	crowdedShare   = 4    // a queue is long from one part in so many of what runs
)

// SlotLimit learns how many requests an engine runs at once without queueing them itself.
type SlotLimit struct {
	Min, Max int
	Start    int

	limit    int
	found    int // the last limit found to be full, 0 before the first
	hold     int // reports until the next probe upwards
	nextHold int
	full     int     // reports in a row that showed a queue and the same number running
	running  int     // in the last report
	peak     float64 // most seen running, fading slowly
}

// Limit returns the number of requests that may be at the engine.
func (slotLimit *SlotLimit) Limit() int {
	if slotLimit.limit == 0 {
		slotLimit.limit = max(slotLimit.Start, slotLimit.Min, 1)
	}
	return slotLimit.limit
}

// Capacity returns the number of requests that the engine was found to run at once; before that, the limit.
func (slotLimit *SlotLimit) Capacity() int {
	if slotLimit.found > 0 {
		return min(slotLimit.found, slotLimit.Limit())
	}
	return slotLimit.Limit()
}

// Observe takes what the engine reports; saturated says that the limit was in use meanwhile. A request waits
// for the engine's next step even where there is room, so a queue alone does not show that the engine is
// full: while it is, it runs the same number in each report, and never was seen to run more. gently says that online work would suffer from
// a limit that is far too high.
func (slotLimit *SlotLimit) Observe(running, waiting int, saturated, gently bool) {
	limit := slotLimit.Limit()
	same := running == slotLimit.running
	slotLimit.running = running
	slotLimit.peak = max(float64(running), slotLimit.peak*peakFade)
	if running > slotLimit.found && slotLimit.found > 0 {
		slotLimit.found = running
	}
	if waiting > 0 && same {
		slotLimit.full++
	} else {
		slotLimit.full = min(waiting, 1)
	}
	needed := queuedReports
	if saturated && waiting*crowdedShare > running {
		needed = crowdedReports
	}
	if slotLimit.full >= needed && running >= int(slotLimit.peak) && running > 0 && running < limit {
		slotLimit.settle(running)
		return
	}
	if slotLimit.hold > 0 {
		slotLimit.hold--
		return
	}
	if saturated && waiting == 0 {
		slotLimit.grow(limit, gently)
	}
}

// settle takes what a full engine runs as the limit.
func (slotLimit *SlotLimit) settle(running int) {
	if running != slotLimit.found {
		slotLimit.nextHold = firstHold
	}
	slotLimit.found, slotLimit.full = running, 0
	slotLimit.hold = slotLimit.nextHold
	slotLimit.nextHold = min(2*slotLimit.nextHold, longestHold)
	slotLimit.limit = max(slotLimit.Min, min(running, slotLimit.Max), 1)
}

// grow doubles the limit until it was found once, and probes in small steps from then on.
func (slotLimit *SlotLimit) grow(limit int, gently bool) {
	growth := limit
	switch {
	case slotLimit.found > 0:
		growth = max(1, limit/probeShare)
	case gently:
		growth = max(1, limit/gentleShare)
	}
	slotLimit.limit = min(max(slotLimit.Max, 1), limit+growth)
}

// Latency is what online work saw in one control period.
type Latency struct {
	FirstToken time.Duration // 95th percentile
	TokenGap   time.Duration // 95th percentile of the time between two tokens
	Samples    int
}

const (
	batchShrink    = 0.7
	growBelowShare = 0.9 // of a latency target
)

// BatchLimit holds online latency under its targets by limiting batch work: fast down, slowly up.
type BatchLimit struct {
	FirstTokenTarget time.Duration // 0 sets no target
	TokenTarget      time.Duration // 0 sets no target
	MaxSlowdown      float64       // of online token gaps through batch work, such as 1.05; 0 sets no bound

	beside float64 // limit beside online work
	known  bool
	model  gapModel
}

// Limit returns how many batch requests may run beside online ones.
func (batchLimit *BatchLimit) Limit(online, slots int) int {
	if online == 0 || !batchLimit.known {
		return slots
	}
	limit := min(slots, int(batchLimit.beside))
	if batchLimit.MaxSlowdown > 1 {
		limit = min(limit, batchLimit.model.batchWithin(batchLimit.MaxSlowdown, online, slots))
	}
	return limit
}

// Observe takes the latency of one control period with the work that ran in it.
func (batchLimit *BatchLimit) Observe(latency Latency, online, batch, slots int) {
	if latency.Samples == 0 || online == 0 {
		return
	}
	batchLimit.model.observe(online+batch, latency.TokenGap)
	if !batchLimit.known {
		batchLimit.known = true
		batchLimit.beside = float64(slots)
	}
	if batchLimit.exceeds(latency, 1) {
		batchLimit.beside = max(0, min(batchLimit.beside, float64(batch))*batchShrink)
		return
	}
	if !batchLimit.exceeds(latency, growBelowShare) {
		batchLimit.beside = min(float64(slots), batchLimit.beside+1)
	}
}

func (batchLimit *BatchLimit) exceeds(latency Latency, share float64) bool {
	return over(latency.FirstToken, batchLimit.FirstTokenTarget, share) || over(latency.TokenGap, batchLimit.TokenTarget, share)
}

func over(value, target time.Duration, share float64) bool {
	return target > 0 && value > time.Duration(share*float64(target))
}

const (
	modelDecay      = 0.98 // of the weight of older samples, a control period
	modelMinSpread  = 0.25 // variance of concurrency that a slope can be told from
	modelMinSamples = 10
)

// gapModel fits the time between tokens as a linear function of the requests at the engine.
type gapModel struct {
	weight, x, y, xx, xy float64
}

func (model *gapModel) observe(running int, gap time.Duration) {
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

// batchWithin returns how much batch work slows online work by no more than slowdown.
func (model *gapModel) batchWithin(slowdown float64, online, slots int) int {
	if model.weight < modelMinSamples {
		return slots
	}
	meanX, meanY := model.x/model.weight, model.y/model.weight
	variance := model.xx/model.weight - meanX*meanX
	if variance < modelMinSpread {
		return slots
	}
	slope := (model.xy/model.weight - meanX*meanY) / variance
	if slope <= 0 {
		return slots
	}
	base := max(0, meanY-slope*meanX)
	alone := base + slope*float64(online)
	return max(0, min(slots, int((slowdown-1)*alone/slope)))
}
