package load

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
)

// Burst multiplies a class's rate for a while.
type Burst struct {
	At     config.Duration `json:"at"`
	For    config.Duration `json:"for"`
	Factor float64         `json:"factor"`
}

// Class is one kind of requests.
type Class struct {
	Name        string          `json:"name"`
	Servers     []string        `json:"servers"` // base URLs, taken in turn
	Key         string          `json:"key"`
	Model       string          `json:"model"`
	Rate        float64         `json:"rate"`        // requests a second; 0 makes a closed loop
	Concurrency int             `json:"concurrency"` // of a closed loop
	Stream      bool            `json:"stream"`
	Prefixes    int             `json:"prefixes"`     // different beginnings of prompts; 0 makes every prompt new
	PrefixBytes int             `json:"prefix_bytes"` // in common
	PromptBytes int             `json:"prompt_bytes"` // of its own
	MaxTokens   int             `json:"max_tokens"`   // on average
	Vary        bool            `json:"vary"`         // lets the tokens of a request range from half to one and a half times that
	Timeout     config.Duration `json:"timeout"`
	Burst       *Burst          `json:"burst,omitempty"`
	RequestID   string          `json:"request_id,omitempty"` // begins the X-Request-Id, for an engine's record
}

// Plan is one run of load.
type Plan struct {
	Name     string          `json:"name"`
	Seed     uint64          `json:"seed"`
	Warmup   config.Duration `json:"warmup"` // not counted
	Duration config.Duration `json:"duration"`
	Classes  []Class         `json:"classes"`
}

const (
	maxDuration = 10 * time.Minute
	maxRate     = 1e5
)

// ReadPlan reads a plan from a JSON file.
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

func (plan Plan) check() (err error) {
	if plan.Duration <= 0 || plan.Duration.Duration() > maxDuration {
		return errors.NotValidf("duration %s (above 0s and up to %s is allowed);", plan.Duration.Duration(), maxDuration)
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

// schedule returns the arrival times of a class: a Poisson process that follows from the seed.
func (class Class) schedule(random *rand.Rand, total time.Duration) (arrivals []time.Duration) {
	at := time.Duration(0)
	for {
		rate := class.Rate
		if burst := class.Burst; burst != nil && at >= burst.At.Duration() && at < burst.At.Duration()+burst.For.Duration() {
			rate *= burst.Factor
		}
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		// A gap that would pass over the beginning of a burst ends there.
		if burst := class.Burst; burst != nil && at < burst.At.Duration() && at+gap > burst.At.Duration() {
			at = burst.At.Duration()
		} else {
			at += gap
		}
		if at >= total {
			return arrivals
		}
		arrivals = append(arrivals, at)
	}
}
