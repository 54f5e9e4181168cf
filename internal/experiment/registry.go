package experiment

import "context"

// Experiment measures one property of the system. Title, Description and Requirement are printed with its table.
type Experiment struct {
	Name        string // identifies the experiment on the command line and names its plot
	Title       string
	Description string
	Requirement string // the users' requirement; empty if there is none
	Run         func(ctx context.Context, harness *Harness) (table Table, err error)
}

// Experiments lists all experiments in the order of the report.
var Experiments = []Experiment{
	{
		Name:        "overhead",
		Title:       "What the path adds",
		Description: "Closed loops of streams, 16 tokens each, to an engine of 5 ms a step: straight to the engine and through entry and target daemon. Added time is to the first token.",
		Requirement: "under 1 ms added at p99 at 64 streams",
		Run:         measureOverhead,
	},
	{
		Name:        "throughput",
		Title:       "Small requests a second through one entry and one target daemon",
		Description: "Whole answers of one token from an engine that takes no time; load generator, entry, daemon and engine share the machine.",
		Requirement: "over 10,000 a second",
		Run:         measureThroughput,
	},
	{
		Name:        "coexistence-flat",
		Title:       "Online with batch under, engines whose steps hardly depend on the number of requests",
		Description: "Four engines of 64 sequences, 20 ms and 15 µs a sequence a step; 40 online streams a second of 32 tokens. Batch items of 32 tokens without end. The share is of the items a second that batch alone reaches straight at the engines, less what online takes.",
		Requirement: "online p99 at most 1.05 of online alone; batch at least 90% of what online leaves",
		Run:         measureCoexistenceFlat,
	},
	{
		Name:        "coexistence-steep",
		Title:       "Online with batch under, engines whose steps depend on the number of requests",
		Description: "As above with 100 µs a sequence: full engines are a quarter slower than empty ones, so the two targets exclude each other; the bound on the slowdown chooses between them.",
		Requirement: "online p99 at most 1.05 of online alone; batch at least 90% of what online leaves",
		Run:         measureCoexistenceSteep,
	},
	{
		Name:        "burst",
		Title:       "Online goes to five times its rate in an instant",
		Description: "The engines of the first coexistence table, full of batch; first token of the online requests that were due in the first second of the burst.",
		Requirement: "harm under one engine step plus 5 ms (26 ms)",
		Run:         measureBurst,
	},
	{
		Name:        "neighbour",
		Title:       "One account offers 20 times its share",
		Description: "Four engines of 8 sequences; the calm account uses a quarter of them. First token of the calm account's requests.",
		Requirement: "p99 at most 1.10 of that alone",
		Run:         measureNeighbour,
	},
	{
		Name:        "routing",
		Title:       "Choosing a target",
		Description: "Eight engines with room for 12 of 32 prefixes of 4 KB in each cache; 120 streams a second of 16 tokens. Balance is the busiest target's answers over the mean.",
		Run:         measureRouting,
	},
	{
		Name:        "lag",
		Title:       "Choosing a target while the engines' reports lag",
		Description: "As above, two choices with affinity.",
		Run:         measureReportLag,
	},
	{
		Name:        "loss",
		Title:       "Half of the engines of a place are lost",
		Description: "Eight engines in one place, four of them end at the same instant; 100 streams a second of 16 tokens.",
		Requirement: "at most 1.1 attempts sent for each request answered",
		Run:         measureEngineLoss,
	},
	{
		Name:        "cost",
		Title:       "What decisions cost",
		Description: "Benchmarks of the decisions alone, on one core.",
		Run:         measureDecisionCosts,
	},
}
