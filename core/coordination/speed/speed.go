package speed

import (
	"math"
	"time"
)

const (
	// SegmentEvents is the number of events of a stream whose arrival makes one observation: enough that the pacing of single events
	// does not matter, and short against the time for which a neighbour slows a VM.
	SegmentEvents = 8

	memory      = time.Minute            // time constant of what is known of an engine and of a kind of request
	momentary   = 500 * time.Millisecond // after that time, what a VM did to its engine says nothing of now
	priorWeight = 1.0                    // observations that the assumption of a usual engine counts as
	// step is the logarithm of the least difference between two engines that counts; smaller ones are within the error of the estimate
	// and leave the choice to the load.
	step            = 0.14
	maxDeviation    = 1.0  // logarithm; bounds the influence of one observation
	maxFactor       = 1.4  // logarithm; no estimate is beyond a factor of 4
	notable         = 0.26 // logarithm of a stated slowdown that can be told from none in one observation
	trustGain       = 0.2
	sharedTrust     = 0.5
	maxSharedWeight = 8   // observations that another process can have made in a second or so
	maxKinds        = 256 // kinds of requests beyond these share one estimate
)

// Kinds holds the usual time between two events of a stream, by kind of request. The zero value is ready for use.
type Kinds struct {
	kinds map[string]*mean
}

// Engine is what is known of one incarnation of an engine. The zero value is an engine of usual speed of which nothing is known.
type Engine struct {
	usual      mean // logarithm of the factor by which work takes longer than at the usual engine
	observed   float64
	observedAt time.Time // of the latest observation, which gave the factor observed beyond the usual one
	stated     float64   // logarithm of the slowdown that the engine stated
	statedAt   time.Time
	distrust   float64 // share of the stated slowdown that is not seen in the times, from 0 to 1
	unsent     mean    // observations of this process since the last Summary
}

// Belief is an estimate with what it is made of, for the choice and the log.
type Belief struct {
	Factor   float64       // how much longer work takes than at the usual engine
	Usual    float64       // the part of it that lasts
	Now      float64       // the part of it that the VM is responsible for at this moment
	Age      time.Duration // of the latest observation or statement; negative if there is none
	Observed bool          // there has been an observation
}

// mean is an average whose observations lose their weight with time.
type mean struct {
	sum, weight float64
	at          time.Time
}

// fade reduces the weights to those of now.
func (mean *mean) fade(now time.Time) {
	if passed := now.Sub(mean.at); passed > 0 {
		kept := math.Exp(-passed.Seconds() / memory.Seconds())
		mean.sum, mean.weight, mean.at = mean.sum*kept, mean.weight*kept, now
	}
}

// value returns the average together with so many assumed observations of 0.
func (mean *mean) value(now time.Time, prior float64) float64 {
	faded := *mean
	faded.fade(now)
	if faded.weight+prior == 0 {
		return 0
	}
	return faded.sum / (faded.weight + prior)
}

// add adds an observation.
func (mean *mean) add(now time.Time, value float64) {
	mean.fade(now)
	mean.sum, mean.weight = mean.sum+value, mean.weight+1
}

// kind returns the estimate for a kind of request.
func (kinds *Kinds) kind(name string) *mean {
	if kinds.kinds == nil {
		kinds.kinds = map[string]*mean{}
	}
	known, ok := kinds.kinds[name]
	if !ok {
		if len(kinds.kinds) >= maxKinds {
			name = ""
		}
		if known = kinds.kinds[name]; known == nil {
			known = &mean{}
			kinds.kinds[name] = known
		}
	}
	return known
}

// Usual returns the usual time per event of a kind of request at a usual engine; 0 means unknown.
func (kinds *Kinds) Usual(now time.Time, kind string) (perEvent time.Duration) {
	if known := kinds.kinds[kind]; known != nil {
		return time.Duration(math.Exp(known.value(now, 0)) * float64(time.Second))
	}
	return 0
}

// Observe records how long an engine took per event of a stream. Time per event, unlike that of a whole response, says nothing of how
// long the response is. It returns the time that was expected, or 0 if nothing was known of the kind.
func (kinds *Kinds) Observe(now time.Time, engine *Engine, kind string, perEvent time.Duration) (expected time.Duration) {
	if perEvent <= 0 {
		return 0
	}
	reference, seconds := kinds.kind(kind), math.Log(perEvent.Seconds())
	known := reference.weight > 0
	if !known {
		reference.add(now, seconds-engine.usual.value(now, priorWeight))
	}
	usual, typical := engine.usual.value(now, priorWeight), reference.value(now, 0)
	deviation := seconds - typical - usual // what neither the kind nor the engine explains
	stated := engine.statedNow(now)
	believed := stated * (1 - engine.distrust)
	if math.Abs(stated) > notable {
		seen := min(max(deviation/stated, 0), 1)
		engine.distrust += trustGain * (1 - seen - engine.distrust)
	}
	if known {
		expected = time.Duration(math.Exp(typical+usual+believed) * float64(time.Second))
	}
	surprise := min(max(deviation-believed, -maxDeviation), maxDeviation)
	engine.usual.add(now, usual+surprise)
	engine.unsent.add(now, usual+surprise)
	reference.add(now, typical+surprise)
	engine.observed, engine.observedAt = min(max(deviation, -maxDeviation), maxDeviation), now
	return expected
}

// Summary is what a process has observed of an engine since its last summary, for other processes.
type Summary struct {
	Logarithm float64 // of the mean factor of the engine
	Weight    float64 // observations
}

// Summarize returns the observations since the last summary, and forgets that they have not been sent.
func (engine *Engine) Summarize(now time.Time) (summary Summary) {
	engine.unsent.fade(now)
	summary = Summary{Logarithm: engine.unsent.value(now, 0), Weight: engine.unsent.weight}
	engine.unsent = mean{}
	return summary
}

// HasNews reports whether there are observations since the last summary.
func (engine *Engine) HasNews() bool { return engine.unsent.weight > 0 }

// Learn adds what another process has observed. It counts for half, as that process's usual times may differ.
func (engine *Engine) Learn(now time.Time, summary Summary) {
	weight := min(max(summary.Weight, 0), maxSharedWeight) * sharedTrust
	engine.usual.fade(now)
	engine.usual.sum += weight * min(max(summary.Logarithm, -maxFactor), maxFactor)
	engine.usual.weight += weight
}

// State records the slowdown that an engine states for its VM; 1 is as usual.
func (engine *Engine) State(now time.Time, slowdown float64) {
	if slowdown > 0 {
		engine.stated, engine.statedAt = min(max(math.Log(slowdown), -maxFactor), maxFactor), now
	}
}

// statedNow returns the part of the stated slowdown that still says something.
func (engine *Engine) statedNow(now time.Time) float64 {
	return engine.stated * remaining(now, engine.statedAt)
}

// remaining returns the weight, from 1 down to 0, of what was known of a VM at a time.
func remaining(now, at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return max(0, 1-max(0, now.Sub(at)).Seconds()/momentary.Seconds())
}

// Believe returns what an engine is expected to need now. Of what it stated and what was observed of the moment, the later counts.
func (engine *Engine) Believe(now time.Time) (belief Belief) {
	usual := engine.usual.value(now, priorWeight)
	momentary, at := engine.statedNow(now)*(1-engine.distrust), engine.statedAt
	if engine.observedAt.After(at) {
		at = engine.observedAt
		if math.Abs(engine.observed) > notable {
			momentary = engine.observed * remaining(now, at)
		}
	}
	belief.Age = -1
	if !at.IsZero() {
		belief.Age = max(0, now.Sub(at))
	}
	total := min(max(usual+momentary, -maxFactor), maxFactor)
	belief.Factor, belief.Usual, belief.Now = math.Exp(math.Round(total/step)*step), math.Exp(usual), math.Exp(momentary)
	belief.Observed = !engine.observedAt.IsZero()
	return belief
}

// ErrorClass names, for metrics, how far an observed time was from the expected one.
func ErrorClass(expected, observed time.Duration) (class string) {
	switch ratio := observed.Seconds() / expected.Seconds(); {
	case ratio > 2:
		return "over twice the expected"
	case ratio > 1.25:
		return "longer"
	case ratio < 0.5:
		return "under half the expected"
	case ratio < 0.8:
		return "shorter"
	}
	return "as expected"
}
