package resumption

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowslipway/core/state/fleet"
)

// Holders returns the IDs of up to limit members that keep the record of a stream, the most likely ones first. The first ones are in
// different failure domains, as far as there are any. All members that know the same members choose the same ones.
func Holders(requestID string, members []fleet.Member, limit int) (holders []string) {
	type ranked struct {
		id, domain string
		score      uint64
	}
	var candidates []ranked
	for _, member := range members {
		if member.Role == fleet.ReporterRole || member.Leaving {
			continue
		}
		// The name, which a process keeps when it starts again.
		candidates = append(candidates, ranked{id: member.ID(), domain: member.FailureDomain, score: xxhash.Sum64String(member.Name + " " + requestID)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	var others []string
	domains := map[string]bool{}
	for _, candidate := range candidates {
		if domains[candidate.domain] {
			others = append(others, candidate.id)
			continue
		}
		domains[candidate.domain] = true
		holders = append(holders, candidate.id)
	}
	holders = append(holders, others...)
	return holders[:min(len(holders), limit)]
}
