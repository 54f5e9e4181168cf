package order

// Order tells an engine to change what it serves. The epoch of the placement that it follows from is its
// fencing token: an engine, or the daemon beside it, refuses one that is older than the newest it has seen.
type Order struct {
	Epoch int64  `json:"epoch" msgpack:"epoch"`
	Path  string `json:"path" msgpack:"path"` // on the engine, such as /v1/load_lora_adapter
	Body  []byte `json:"body" msgpack:"body"`
}

// Record is the newest order for one target, as it stands in the store.
type Record struct {
	Order Order `json:"order"`
}

// WithOrder returns the placement that follows on placement with a new order.
func (placement Record) WithOrder(path string, body []byte) Record {
	return Record{Order: Order{Epoch: placement.Order.Epoch + 1, Path: path, Body: body}}
}

// Fence is what a daemon knows of the epochs of one target. It admits nothing before it knows the store's.
type Fence struct {
	known  bool
	newest int64
}

// Observe records the epoch that the store holds.
func (fence *Fence) Observe(epoch int64) {
	fence.known = true
	fence.newest = max(fence.newest, epoch)
}

// Initialized reports whether the store's epoch was learned.
func (fence *Fence) Initialized() bool { return fence.known }

// Admit reports whether order may go to the engine, and remembers its epoch.
func (fence *Fence) Admit(order Order) bool {
	if !fence.known || order.Epoch < fence.newest {
		return false
	}
	fence.newest = order.Epoch
	return true
}
