package resumption

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

// Holders returns the IDs of up to limit members that keep the record of a stream, the most likely ones first. The first one is a worker if
// there is any, since all ingresses may be lost at once, and the second one is in another failure domain. All members that know the same
// members choose the same ones.
func Holders(requestID string, members []fleet.Member, limit int) (holders []string) {
	type ranked struct {
		fleet.Member

		score uint64
	}
	var candidates, ordered []ranked
	for _, member := range members {
		if member.Role == fleet.ReporterRole || member.Leaving {
			continue
		}
		// The name, which a process keeps when it starts again.
		candidates = append(candidates, ranked{Member: member, score: xxhash.Sum64String(member.Name + " " + requestID)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID(), b.ID()))
	})
	domains := map[string]bool{}
	// move appends the best candidate for which suits returns true, and removes it from the candidates.
	move := func(suits func(candidate ranked) bool) (ok bool) {
		position := slices.IndexFunc(candidates, suits)
		if position < 0 {
			return false
		}
		ordered = append(ordered, candidates[position])
		domains[candidates[position].FailureDomain] = true
		candidates = slices.Delete(candidates, position, position+1)
		return true
	}
	isWorker := func(candidate ranked) bool { return candidate.Role == fleet.WorkerRole }
	inNewDomain := func(candidate ranked) bool { return !domains[candidate.FailureDomain] }
	move(isWorker)
	move(inNewDomain)
	move(isWorker) // the first one until a better one joined
	for move(inNewDomain) {
	}
	for _, member := range append(ordered, candidates...) {
		holders = append(holders, member.ID())
	}
	return holders[:min(len(holders), limit)]
}
