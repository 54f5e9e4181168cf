package load

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
)

// Burst multiplies the request rate of a class for a limited time.
type Burst struct {
	Start  config.Duration `json:"at"` // since the start of the run, warm-up included
	Length config.Duration `json:"for"`
	Factor float64         `json:"factor"`
}

// Class describes a group of similar requests: their destination, rate and contents.
type Class struct {
	Name            string          `json:"name"`
	Servers         []string        `json:"servers"` // base URLs; requests go to them in rotation
	APIKey          string          `json:"key"`
	Model           string          `json:"model"`
	Rate            float64         `json:"rate"`        // requests per second of an open loop; 0 selects a closed loop
	Concurrency     int             `json:"concurrency"` // requests in flight in a closed loop
	Stream          bool            `json:"stream"`
	PrefixCount     int             `json:"prefixes"`     // number of distinct prompt prefixes; 0 sends no shared prefix
	PrefixBytes     int             `json:"prefix_bytes"` // length of a shared prefix
	PromptBytes     int             `json:"prompt_bytes"` // length of the part of the prompt that is unique to a request
	MaxTokens       int             `json:"max_tokens"`   // tokens to request; the mean with VaryTokens
	VaryTokens      bool            `json:"vary"`         // draws the tokens of a request uniformly from half to one and a half times MaxTokens
	Timeout         config.Duration `json:"timeout"`
	Burst           *Burst          `json:"burst,omitempty"`
	RequestIDPrefix string          `json:"request_id,omitempty"` // prefix of the X-Request-Id header, by which an engine's records can be filtered; empty sends no header
}

// Plan describes one run of the load generator.
type Plan struct {
	Name     string          `json:"name"`
	Seed     uint64          `json:"seed"`
	Warmup   config.Duration `json:"warmup"`   // time at the start of the run whose requests do not count in the totals and latencies
	Duration config.Duration `json:"duration"` // without the warm-up
	Classes  []Class         `json:"classes"`
}

const (
	maxDuration = 10 * time.Minute // of a plan, without its warm-up
	maxRate     = 1e5              // requests per second
)

// ReadPlan reads a plan from a JSON file and validates it.
func ReadPlan(file string) (plan Plan, err error) {
	defer func() { err = errors.Annotatef(err, "reading plan %q", file) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return plan, err
	}
	if err = config.DecodeStrict(data, &plan); err != nil {
		return plan, err
	}
	return plan, plan.check()
}

// check returns an error if the plan's duration, a class's rate or a class's list of servers is not valid.
func (plan Plan) check() (err error) {
	if plan.Duration <= 0 || plan.Duration.Duration() > maxDuration {
		return errors.NotValidf("duration %s (allowed: above 0s, at most %s)", plan.Duration.Duration(), maxDuration)
	}
	for _, class := range plan.Classes {
		if class.Rate < 0 || class.Rate > maxRate {
			return errors.NotValidf("rate %v of class %q", class.Rate, class.Name)
		}
		if len(class.Servers) == 0 {
			return errors.NotValidf("class %q without servers", class.Name)
		}
	}
	return nil
}

// arrivalTimes returns the arrival times of the requests since the start of the run, drawn from a Poisson process.
// The same random source yields the same times.
func (class Class) arrivalTimes(random *rand.Rand, total time.Duration) (arrivals []time.Duration) {
	at := time.Duration(0)
	for {
		rate := class.Rate
		if burst := class.Burst; burst != nil && at >= burst.Start.Duration() && at < burst.Start.Duration()+burst.Length.Duration() {
			rate *= burst.Factor
		}
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		// An arrival that would fall after the start of the burst is moved to the start,
		// so that a long gap at the lower rate does not delay the burst.
		if burst := class.Burst; burst != nil && at < burst.Start.Duration() && at+gap > burst.Start.Duration() {
			at = burst.Start.Duration()
		} else {
			at += gap
		}
		if at >= total {
			return arrivals
		}
		arrivals = append(arrivals, at)
	}
}
