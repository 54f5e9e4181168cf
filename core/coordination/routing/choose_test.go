package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestChoose runs testdata/choose. A candidate is a line of name, place, slots, reported requests, report age, outstanding
// requests and flags.
func TestChoose(t *testing.T) {
	var candidates []Candidate
	chooser := DefaultChooser
	datadriven.RunTest(t, "testdata/choose", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "candidates":
			candidates = parseCandidates(t, data.Input)
			return ""
		case "chooser":
			chooser = DefaultChooser
			chooser.Affinity = data.HasArg("affinity")
			return ""
		case "choose":
			return chosenTargets(t, data, chooser, candidates)
		case "subset":
			return subsetStatistics(t, data)
		}
		t.Fatalf("unknown command %q", data.Cmd)
		return ""
	})
}

func parseCandidates(t *testing.T, input string) (candidates []Candidate) {
	for _, line := range strings.Split(input, "\n") {
		var candidate Candidate
		var age, flags string
		if _, err := fmt.Sscan(line, &candidate.Name, &candidate.Place, &candidate.Slots, &candidate.Reported, &age, &candidate.Outstanding, &flags); err != nil {
			t.Fatalf("parsing candidate %q: %s", line, err)
		}
		var err error
		if candidate.ReportAge, err = time.ParseDuration(age); err != nil {
			t.Fatal(err)
		}
		candidate.Healthy = !strings.Contains(flags, "down")
		candidate.Draining = strings.Contains(flags, "draining")
		candidate.Retiring = strings.Contains(flags, "retiring")
		candidate.Excluded = strings.Contains(flags, "excluded")
		candidates = append(candidates, candidate)
	}
	return candidates
}

// chosenTargets makes 200 choices with a fixed seed and returns the names of the targets that were chosen at least once.
func chosenTargets(t *testing.T, data *datadriven.TestData, chooser Chooser, candidates []Candidate) string {
	var places string
	var prefixHash uint64
	data.ScanArgs(t, "places", &places)
	if data.HasArg("prefix") {
		data.ScanArgs(t, "prefix", &prefixHash)
	}
	random := rand.New(rand.NewPCG(1, 2))
	request := Request{Places: strings.Split(places, ","), Prefix: prefixHash}
	chosenNames := map[string]bool{}
	for range 200 {
		if chosen := chooser.Choose(random, request, candidates); chosen >= 0 {
			chosenNames[candidates[chosen].Name] = true
		}
	}
	var names []string
	for _, candidate := range candidates {
		if chosenNames[candidate.Name] {
			names = append(names, candidate.Name)
		}
	}
	if len(names) == 0 {
		return "none\n"
	}
	return strings.Join(names, " ") + "\n"
}

// subsetStatistics returns how evenly the subsets of all owners use the members, and how many subset entries are replaced
// when one member is removed.
func subsetStatistics(t *testing.T, data *datadriven.TestData) string {
	var owners, count, size int
	data.ScanArgs(t, "owners", &owners)
	data.ScanArgs(t, "members", &count)
	data.ScanArgs(t, "size", &size)
	members := make([]string, count)
	for i := range members {
		members[i] = fmt.Sprintf("target-%d", i)
	}
	used, replaced := map[string]int{}, 0
	for owner := range owners {
		name := fmt.Sprintf("entry-%d", owner)
		before := map[string]bool{}
		for _, member := range Subset(name, members, size) {
			used[member]++
			before[member] = true
		}
		for _, member := range Subset(name, members[1:], size) {
			if !before[member] {
				replaced++
			}
		}
	}
	maxOwners := 0
	for _, count := range used {
		maxOwners = max(maxOwners, count)
	}
	return fmt.Sprintf("members used: %d, most owners of one member: %d, replaced after one removal: %d of %d\n", len(used), maxOwners, replaced, owners*size)
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			candidates := make([]Candidate, count)
			for i := range candidates {
				candidates[i] = Candidate{Name: fmt.Sprintf("target-%d", i), Place: "a", Slots: 64, Reported: i % 64, Healthy: true}
			}
			random := rand.New(rand.NewPCG(1, 2))
			request := Request{Places: []string{"a"}, Prefix: 7}
			b.ReportAllocs()
			for b.Loop() {
				DefaultChooser.Choose(random, request, candidates)
			}
		})
	}
}
