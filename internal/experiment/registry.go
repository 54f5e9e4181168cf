package experiment

import "context"

// Experiment is one question, with the text that explains its table.
type Experiment struct {
	Name   string
	Title  string
	Text   string
	Target string // as the users stated it; empty where they stated none
	Run    func(ctx context.Context, bench *Bench) (table Table, err error)
}

// Experiments are all experiments, in the order of the report.
var Experiments = []Experiment{
	{
		Name:   "overhead",
		Title:  "What the path adds",
		Text:   "Closed loops of streams, 16 tokens each, to an engine of 5 ms a step: straight to the engine and through entry and target daemon. Added time is to the first token.",
		Target: "under 1 ms added at p99 at 64 streams",
		Run:    overhead,
	},
	{
		Name:   "throughput",
		Title:  "Small requests a second through one entry and one target daemon",
		Text:   "Whole answers of one token from an engine that takes no time; load generator, entry, daemon and engine share the machine.",
		Target: "over 10,000 a second",
		Run:    throughput,
	},
	{
		Name:   "coexistence-flat",
		Title:  "Online with batch under, engines whose steps hardly depend on the number of requests",
		Text:   "Four engines of 64 sequences, 20 ms and 15 µs a sequence a step; 40 online streams a second of 32 tokens. Batch items of 32 tokens without end. The share is of the items a second that batch alone reaches straight at the engines, less what online takes.",
		Target: "online p99 at most 1.05 of online alone; batch at least 90% of what online leaves",
		Run:    coexistenceFlat,
	},
	{
		Name:   "coexistence-steep",
		Title:  "Online with batch under, engines whose steps depend on the number of requests",
		Text:   "As above with 100 µs a sequence: full engines are a quarter slower than empty ones, so the two targets exclude each other; the bound on the slowdown chooses between them.",
		Target: "online p99 at most 1.05 of online alone; batch at least 90% of what online leaves",
		Run:    coexistenceSteep,
	},
	{
		Name:   "burst",
		Title:  "Online goes to five times its rate in an instant",
		Text:   "The engines of the first coexistence table, full of batch; first token of the online requests that were due in the first second of the burst.",
		Target: "harm under one engine step plus 5 ms (26 ms)",
		Run:    burst,
	},
	{
		Name:   "neighbour",
		Title:  "One account offers 20 times its share",
		Text:   "Four engines of 8 sequences; the calm account uses a quarter of them. First token of the calm account's requests.",
		Target: "p99 at most 1.10 of that alone",
		Run:    neighbour,
	},
	{
		Name:  "routing",
		Title: "Choosing a target",
		Text:  "Eight engines with room for 12 of 32 prefixes of 4 KB in each cache; 120 streams a second of 16 tokens. Balance is the busiest target's answers over the mean.",
		Run:   routingTable,
	},
	{
		Name:  "lag",
		Title: "Choosing a target while the engines' reports lag",
		Text:  "As above, two choices with affinity.",
		Run:   lagTable,
	},
	{
		Name:   "loss",
		Title:  "Half of the engines of a place are lost",
		Text:   "Eight engines in one place, four of them end at the same instant; 100 streams a second of 16 tokens.",
		Target: "at most 1.1 attempts sent for each request answered",
		Run:    loss,
	},
	{
		Name:  "cost",
		Title: "What decisions cost",
		Text:  "Benchmarks of the decisions alone, on one core.",
		Run:   cost,
	},
}
