package node

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cowslipway/core/coordination/quota"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/io/store"
)

// QuotaKey returns the key of the counter of the tokens that were accepted on a route.
func (node *Node) QuotaKey(route string) (key string) { return node.Records.OwnKey(quotaName(route)) }

// quotaName returns the name of the own record with the counter of a route.
func quotaName(route string) (name string) {
	return fmt.Sprintf("%s%016x", quotaPrefix, xxhash.Sum64String(route))
}

// DecodeCounter decodes the record under QuotaKey. One that can't be read counts from 0 on: the next job that is counted replaces it.
func DecodeCounter(item store.Item) (counter quota.Counter, err error) {
	if err = json.Unmarshal(item.Value, &counter); err != nil {
		counter = quota.Counter{}
	}
	counter.Revision = item.Revision
	return counter, err
}

// QuotaUsage returns what the view shows of the batch items that wait on a route. Usage.Latest equals Usage.Seen.
func (node *Node) QuotaUsage(route string) (usage quota.Usage) {
	processes := len(node.Members(fleet.IngressRole))
	table := node.Table()
	directory := &node.directory
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.jobs.Range(func(_ string, view jobrecord.View) bool {
		if view.Waiting > 0 {
			if matched, ok := table.Match(view.Job.Host, view.Job.Path); ok && matched.Name == route {
				usage.Waiting += view.Waiting
			}
		}
		return true
	})
	usage.Seen = directory.counters[quotaName(route)]
	usage.Latest, usage.Finished, usage.Processes = usage.Seen, directory.finished[route], processes
	usage.ViewAge = time.Since(directory.asOf)
	return usage
}

// countFinished adds to the finished tokens of a job's route.
func (directory *directory) countFinished(job *jobrecord.Job, tokens int64) {
	table := directory.table.Load()
	if directory.listing || table == nil {
		return
	}
	if route, ok := table.Match(job.Host, job.Path); ok {
		directory.finished[route.Name] += tokens
	}
}

// applyCounter applies a changed counter. A listing is no snapshot, and a counter that is newer than the jobs would hide those that
// are missing. Counters are therefore listed before the jobs and take effect with them; what changes meanwhile comes by a watch.
func (directory *directory) applyCounter(name string, item store.Item, update store.Update) {
	counters := directory.counters
	switch {
	case update.Reset && update.Prefix != directory.node.Records.OwnKey(quotaPrefix):
		return
	case update.Reset:
		counters = directory.listedCounters
	case item.Deleted:
		delete(counters, name)
		return
	}
	counter, err := DecodeCounter(item)
	if err != nil {
		directory.ignored.report(zap.WarnLevel, "counter", "counter ignored", err, zap.String("key", item.Key))
	}
	counters[name] = counter
}
