package fairqueue

import (
	"container/heap"

	"github.com/juju/errors"
)

// ErrFull says that an account has as many items queued as it may.
const ErrFull = errors.ConstError("queue of the account is full")

const (
	sweepThreshold = 64 // idle flows
	maxCredit      = 2  // items that an idle account can be ahead by what it was given back
)

// Queue is a weighted fair queue (start-time fair queueing, Goyal et al. 1996): the account that received
// the least cost for its weight is served first.
type Queue[T any] struct {
	MaxPerAccount int // items; 0 sets no bound

	flows   map[string]*flow[T]
	active  flowHeap[T]
	virtual float64
	size    int
}

type flow[T any] struct {
	account string
	weight  float64
	next    float64 // virtual time at which the first item may start
	credit  float64 // given back while nothing was queued, in virtual time
	last    float64 // cost of the item served last, in virtual time
	items   []entry[T]
	index   int // in the heap, -1 while idle
}

type entry[T any] struct {
	item T
	cost int64
}

// Len returns the number of queued items.
func (queue *Queue[T]) Len() int { return queue.size }

// Accounts returns the number of accounts that have items queued.
func (queue *Queue[T]) Accounts() int { return len(queue.active) }

// LenOf returns the number of items that account has queued.
func (queue *Queue[T]) LenOf(account string) int {
	if flow, ok := queue.flows[account]; ok {
		return len(flow.items)
	}
	return 0
}

// Push queues item for account; it reports ErrFull at the account's bound.
func (queue *Queue[T]) Push(account string, weight float64, cost int64, item T) (err error) {
	flow := queue.flow(account)
	if queue.MaxPerAccount > 0 && len(flow.items) >= queue.MaxPerAccount {
		return ErrFull
	}
	if weight > 0 {
		flow.weight = weight
	}
	flow.items = append(flow.items, entry[T]{item: item, cost: max(cost, 1)})
	queue.size++
	if flow.index < 0 {
		// What was given back would otherwise be lost to those who queue little, and kept by those who
		// always queue.
		flow.next = max(flow.next, queue.virtual) - min(flow.credit, maxCredit*flow.last)
		flow.credit = 0
		heap.Push(&queue.active, flow)
	}
	return nil
}

func (queue *Queue[T]) flow(account string) *flow[T] {
	if known, ok := queue.flows[account]; ok {
		return known
	}
	if queue.flows == nil {
		queue.flows = map[string]*flow[T]{}
	}
	queue.sweep()
	added := &flow[T]{account: account, weight: 1, index: -1}
	queue.flows[account] = added
	return added
}

// sweep forgets idle accounts that owe nothing, so that memory follows the accounts in use.
func (queue *Queue[T]) sweep() {
	if len(queue.flows) < sweepThreshold || len(queue.flows) < 2*len(queue.active) || len(queue.flows)%sweepThreshold != 0 {
		return
	}
	for account, flow := range queue.flows {
		if flow.index < 0 && flow.next <= queue.virtual {
			delete(queue.flows, account)
		}
	}
}

// NextAccount returns the account whose item Pop would return.
func (queue *Queue[T]) NextAccount() (account string, ok bool) {
	if len(queue.active) == 0 {
		return "", false
	}
	return queue.active[0].account, true
}

// Pop removes and returns the next item.
func (queue *Queue[T]) Pop() (item T, ok bool) {
	if len(queue.active) == 0 {
		return item, false
	}
	flow := queue.active[0]
	first := flow.items[0]
	queue.virtual = max(queue.virtual, flow.next)
	flow.last = float64(first.cost) / flow.weight
	flow.next += flow.last
	queue.drop(flow, 0)
	return first.item, true
}

// Remove removes the first item of account that match accepts.
func (queue *Queue[T]) Remove(account string, match func(T) bool) (item T, ok bool) {
	flow, ok := queue.flows[account]
	if !ok {
		return item, false
	}
	for i, entry := range flow.items {
		if match(entry.item) {
			queue.drop(flow, i)
			return entry.item, true
		}
	}
	return item, false
}

func (queue *Queue[T]) drop(flow *flow[T], position int) {
	flow.items = append(flow.items[:position], flow.items[position+1:]...)
	queue.size--
	if len(flow.items) == 0 {
		flow.items = nil
		heap.Remove(&queue.active, flow.index)
		return
	}
	heap.Fix(&queue.active, flow.index)
}

// Charge adds cost to what account has received, negative to give back.
func (queue *Queue[T]) Charge(account string, cost int64) {
	flow, ok := queue.flows[account]
	if !ok {
		return
	}
	change := float64(cost) / flow.weight
	if flow.index < 0 && change < 0 {
		flow.credit -= change
		return
	}
	flow.next += change
	if flow.index >= 0 {
		heap.Fix(&queue.active, flow.index)
	}
}

type flowHeap[T any] []*flow[T]

func (flows flowHeap[T]) Len() int { return len(flows) }

// Less breaks ties by name, so that the same events always give the same order.
func (flows flowHeap[T]) Less(i, j int) bool {
	if flows[i].next != flows[j].next {
		return flows[i].next < flows[j].next
	}
	return flows[i].account < flows[j].account
}

func (flows flowHeap[T]) Swap(i, j int) {
	flows[i], flows[j] = flows[j], flows[i]
	flows[i].index, flows[j].index = i, j
}

// Push is called by container/heap only.
func (flows *flowHeap[T]) Push(value any) {
	flow := value.(*flow[T])
	flow.index = len(*flows)
	*flows = append(*flows, flow)
}

// Pop is called by container/heap only.
func (flows *flowHeap[T]) Pop() any {
	last := len(*flows) - 1
	flow := (*flows)[last]
	(*flows)[last] = nil
	*flows = (*flows)[:last]
	flow.index = -1
	return flow
}
