package fairqueue

import (
	"container/heap"

	"github.com/juju/errors"
)

// ErrFull is returned by Push if the account already has MaxPerAccount items queued.
const ErrFull = errors.ConstError("queue of the account is full")

const (
	scanMultiple   = 64 // removeIdle scans all flows only when their number is a multiple of this
	maxCreditItems = 2  // largest credit of an idle account, in multiples of the cost of its last item
)

// Queue is a weighted fair queue (start-time fair queueing, Goyal et al. 1996). It serves the account first that has
// received the least cost relative to its weight. It is not safe for concurrent use.
type Queue[T any] struct {
	MaxPerAccount int // queued items of one account; 0 means no bound

	flows       map[string]*flow[T] // by account
	active      flowHeap[T]         // flows with queued items, by start tag
	virtualTime float64             // largest start tag served so far, in cost per weight
	size        int                 // queued items of all accounts
}

// flow holds the queued items of one account and the cost charged to it.
type flow[T any] struct {
	account  string
	weight   float64
	startTag float64 // virtual start time of the first queued item, or virtual finish time of the last served one
	credit   float64 // refunds received while nothing was queued, in virtual time
	lastCost float64 // cost of the item served last, in virtual time
	items    []queuedItem[T]
	index    int // position in the heap, -1 while nothing is queued
}

type queuedItem[T any] struct {
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

// Push queues item for account, at a cost of at least 1. A weight of 0 or less keeps the account's weight, which is 1
// at first. It returns ErrFull if the account has MaxPerAccount items queued.
func (queue *Queue[T]) Push(account string, weight float64, cost int64, item T) (err error) {
	flow := queue.flowOf(account)
	if queue.MaxPerAccount > 0 && len(flow.items) >= queue.MaxPerAccount {
		return ErrFull
	}
	if weight > 0 {
		flow.weight = weight
	}
	flow.items = append(flow.items, queuedItem[T]{item: item, cost: max(cost, 1)})
	queue.size++
	if flow.index < 0 {
		// A refund applied to the start tag of an idle account would be lost when the tag is raised to the virtual
		// time, while accounts that always have items queued keep theirs. The credit makes up for that.
		flow.startTag = max(flow.startTag, queue.virtualTime) - min(flow.credit, maxCreditItems*flow.lastCost)
		flow.credit = 0
		heap.Push(&queue.active, flow)
	}
	return nil
}

// flowOf returns the flow of account, which it creates if there is none.
func (queue *Queue[T]) flowOf(account string) *flow[T] {
	if existing, ok := queue.flows[account]; ok {
		return existing
	}
	if queue.flows == nil {
		queue.flows = map[string]*flow[T]{}
	}
	queue.removeIdle()
	created := &flow[T]{account: account, weight: 1, index: -1}
	queue.flows[account] = created
	return created
}

// removeIdle removes the flows that have nothing queued and whose start tag is not ahead of the virtual time, so that
// memory use follows the number of accounts in use. It does nothing while more than half of the flows are active.
func (queue *Queue[T]) removeIdle() {
	if len(queue.flows) < scanMultiple || len(queue.flows) < 2*len(queue.active) || len(queue.flows)%scanMultiple != 0 {
		return
	}
	for account, flow := range queue.flows {
		if flow.index < 0 && flow.startTag <= queue.virtualTime {
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

// Pop removes and returns the first item of the account to serve next, and charges its cost to the account.
func (queue *Queue[T]) Pop() (item T, ok bool) {
	if len(queue.active) == 0 {
		return item, false
	}
	flow := queue.active[0]
	first := flow.items[0]
	queue.virtualTime = max(queue.virtualTime, flow.startTag)
	flow.lastCost = float64(first.cost) / flow.weight
	flow.startTag += flow.lastCost
	queue.removeAt(flow, 0)
	return first.item, true
}

// Remove removes and returns the first queued item of account that match accepts, and does not charge its cost.
func (queue *Queue[T]) Remove(account string, match func(T) bool) (item T, ok bool) {
	flow, ok := queue.flows[account]
	if !ok {
		return item, false
	}
	for i, queued := range flow.items {
		if match(queued.item) {
			queue.removeAt(flow, i)
			return queued.item, true
		}
	}
	return item, false
}

// removeAt removes the item at position from flow and updates the heap.
func (queue *Queue[T]) removeAt(flow *flow[T], position int) {
	flow.items = append(flow.items[:position], flow.items[position+1:]...)
	queue.size--
	if len(flow.items) == 0 {
		flow.items = nil
		heap.Remove(&queue.active, flow.index)
		return
	}
	heap.Fix(&queue.active, flow.index)
}

// Charge corrects the cost charged to account by cost, which is negative for a refund. It has no effect on an account
// unknown to the queue.
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
	flow.startTag += change
	if flow.index >= 0 {
		heap.Fix(&queue.active, flow.index)
	}
}

// flowHeap implements heap.Interface.
type flowHeap[T any] []*flow[T]

func (flows flowHeap[T]) Len() int { return len(flows) }

// Less orders flows by start tag. It breaks ties by account name, so that the same events always give the same order.
func (flows flowHeap[T]) Less(i, j int) bool {
	if flows[i].startTag != flows[j].startTag {
		return flows[i].startTag < flows[j].startTag
	}
	return flows[i].account < flows[j].account
}

func (flows flowHeap[T]) Swap(i, j int) {
	flows[i], flows[j] = flows[j], flows[i]
	flows[i].index, flows[j].index = i, j
}

// Push implements heap.Interface.
func (flows *flowHeap[T]) Push(value any) {
	flow := value.(*flow[T])
	flow.index = len(*flows)
	*flows = append(*flows, flow)
}

// Pop implements heap.Interface.
func (flows *flowHeap[T]) Pop() any {
	last := len(*flows) - 1
	flow := (*flows)[last]
	(*flows)[last] = nil
	*flows = (*flows)[:last]
	flow.index = -1
	return flow
}
