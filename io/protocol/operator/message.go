package operator

import (
	"encoding/json"

	"cowslipway/core/state/config"
	"cowslipway/io/protocol/peer"
)

// ApplyRequest asks to put a declaration in force as a whole.
type ApplyRequest struct {
	Base          int64                `json:"base"`      // version that the operator has seen
	Operation     string               `json:"operation"` // names this change, also when it is sent again
	Configuration config.Configuration `json:"configuration"`
}

// ApplyResponse tells which version is in force.
type ApplyResponse struct {
	Version  int64  `json:"version"`
	Conflict bool   `json:"conflict"`       // another operator was faster; nothing has changed
	Diff     string `json:"diff,omitempty"` // from the version seen to the one in force
}

// OrderRequest asks to give an order to the engine of a target.
type OrderRequest struct {
	Path string          `json:"path"` // on the engine, such as /v1/load_lora_adapter
	Body json.RawMessage `json:"body"`
}

// OrderResponse tells what became of an order; it stands in the store all the same.
type OrderResponse struct {
	Epoch       int64  `json:"epoch"`
	Disposition string `json:"disposition"`
	Reason      string `json:"reason,omitempty"`
}

// Process is one process and the version of its configuration.
type Process struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Place   string `json:"place"`
	Version int64  `json:"version"`
	Leaving bool   `json:"leaving,omitempty"`
}

// StatusResponse tells which daemons are on which version.
type StatusResponse struct {
	Version    int64     `json:"version"` // of the entry that answers
	Daemons    []Process `json:"daemons"`
	StoreUp    bool      `json:"store_up"`
	StoreCalls int64     `json:"store_calls"`
}

// LocateResponse tells where a request, a job or an item ran and what became of it.
type LocateResponse struct {
	ID   string     `json:"id"`
	Runs []peer.Run `json:"runs"`
	Job  *JobState  `json:"job,omitempty"`
}

// JobState tells how far a job, or the job of an item, has come.
type JobState struct {
	Status  string `json:"status"`
	Total   int    `json:"total"`
	Done    int    `json:"done"`
	Failed  int    `json:"failed"`
	Segment int    `json:"segment,omitempty"` // of the item
	Owner   string `json:"owner,omitempty"`   // of the segment
	Outcome string `json:"outcome,omitempty"` // of the item, once it is committed
}
