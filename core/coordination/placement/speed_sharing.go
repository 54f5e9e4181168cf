package placement

import (
	"math"
	"slices"
	"time"

	"cowslipway/core/coordination/speed"
)

const (
	// speedMark turns the digest of an engine into that under which load counts hold what a process has observed of its speed. Processes
	// that do not know it ignore the counts of an engine that they do not list.
	speedMark = 0x7370656564736565
	// speedsPerMessage is the number of engines whose speed a message with load counts includes at most, 12 bytes each.
	speedsPerMessage = 4
	// A factor is sent as its logarithm in thousandths above -2.
	logarithmOffset, logarithmUnit = 2, 1000
)

// SpeedNews returns what this process has observed of some engines since it last returned them, to be sent with its load counts. It
// returns nothing while no engine of their service differs.
func (pool *Pool) SpeedNews(now time.Time) (news []Counts) {
	for digest := range pool.speedNews {
		if len(news) == speedsPerMessage {
			break
		}
		delete(pool.speedNews, digest)
		engine, ok := pool.engines[digest]
		if !ok || !engine.speed.HasNews() || !pool.isUneven(now, engine.Service) {
			continue
		}
		summary := engine.speed.Summarize(now)
		news = append(news, Counts{Engine: digest ^ speedMark, Online: int(math.Round((summary.Logarithm + logarithmOffset) * logarithmUnit)), Batch: max(1, int(math.Round(summary.Weight)))})
	}
	return news
}

// LearnSpeeds applies what a peer sends of engines' speeds with its load counts, before ApplyCounts is called with them: what it sent
// before may be relayed again.
func (pool *Pool) LearnSpeeds(now time.Time, peer string, counts []Counts) {
	before := pool.peerCounts[peer]
	for _, count := range counts {
		engine, ok := pool.engines[count.Engine^speedMark]
		if !ok || slices.Contains(before, count) {
			continue
		}
		engine.speed.Learn(now, speed.Summary{Logarithm: float64(count.Online)/logarithmUnit - logarithmOffset, Weight: float64(count.Batch)})
		engine.beliefAt = time.Time{}
		pool.factor(now, engine)
	}
}
