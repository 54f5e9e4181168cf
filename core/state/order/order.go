package order

// Order tells an engine to change what it serves. Its epoch is a fencing token: an engine, or the target daemon on its
// VM, rejects an order with a lower epoch than the highest one seen.
type Order struct {
	Epoch int64  `json:"epoch" msgpack:"epoch"`
	Path  string `json:"path" msgpack:"path"` // request path at the engine, such as /v1/load_lora_adapter
	Body  []byte `json:"body" msgpack:"body"`
}

// Record is the stored record of the last order given to a target.
type Record struct {
	Order Order `json:"order"`
}

// WithOrder returns the next record, which holds a new order with the next epoch.
func (record Record) WithOrder(path string, body []byte) Record {
	return Record{Order: Order{Epoch: record.Order.Epoch + 1, Path: path, Body: body}}
}

// Fence rejects outdated orders to one target. It rejects all orders until Observe is called with the epoch of the last
// order in the store.
type Fence struct {
	initialized bool
	highest     int64 // highest epoch seen
}

// Observe records the epoch of the last order in the store.
func (fence *Fence) Observe(epoch int64) {
	fence.initialized = true
	fence.highest = max(fence.highest, epoch)
}

// Initialized reports whether Observe has been called.
func (fence *Fence) Initialized() bool { return fence.initialized }

// Admit reports whether order may be sent to the engine, and records its epoch if so.
func (fence *Fence) Admit(order Order) bool {
	if !fence.initialized || order.Epoch < fence.highest {
		return false
	}
	fence.highest = order.Epoch
	return true
}
