package operator

import (
	"encoding/json"

	"cowslipway/core/state/config"
	"cowslipway/io/protocol/peer"
)

// ApplyRequest is a request to replace the complete current configuration.
type ApplyRequest struct {
	Base          int64                `json:"base"`      // version that the change is based on
	Operation     string               `json:"operation"` // unique ID of the change; a retry uses the same ID
	Configuration config.Configuration `json:"configuration"`
}

// ApplyResponse is the response to an ApplyRequest.
type ApplyResponse struct {
	Version  int64  `json:"version"`        // current version
	Conflict bool   `json:"conflict"`       // Base was not the current version; nothing was changed
	Diff     string `json:"diff,omitempty"` // after a conflict: changes from Base to the current version
}

// OrderRequest is a request to send an order to the engine of a target.
type OrderRequest struct {
	Path string          `json:"path"` // request path at the engine, such as /v1/load_lora_adapter
	Body json.RawMessage `json:"body"`
}

// OrderResponse reports the outcome of an order. The order remains recorded in the store whatever its outcome.
type OrderResponse struct {
	Epoch       int64  `json:"epoch"`
	Disposition string `json:"disposition"` // whether the engine executed the order: a name of a request.Disposition
	Reason      string `json:"reason,omitempty"`
}

// Process describes an entry or a target daemon.
type Process struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Place   string `json:"place"`
	Version int64  `json:"version"` // configuration version of the process
	Leaving bool   `json:"leaving,omitempty"`
}

// StatusResponse reports the processes known to an entry and their configuration versions.
type StatusResponse struct {
	Version    int64     `json:"version"`     // configuration version of the responding entry
	Daemons    []Process `json:"daemons"`     // entries and target daemons
	StoreUp    bool      `json:"store_up"`    // the store is available to the responding entry
	StoreCalls int64     `json:"store_calls"` // number of store calls made by the responding entry
}

// LocateResponse reports the runs of a request, or the state of a batch job or of the job of an item.
type LocateResponse struct {
	ID   string     `json:"id"`
	Runs []peer.Run `json:"runs"`
	Job  *JobState  `json:"job,omitempty"`
}

// JobState is the state of a batch job. If an item was looked up, it includes the item's segment.
type JobState struct {
	Status  string `json:"status"`
	Total   int    `json:"total"`             // number of items
	Done    int    `json:"done"`              // number of completed items
	Failed  int    `json:"failed"`            // number of failed items
	Segment int    `json:"segment,omitempty"` // index of the item's segment
	Owner   string `json:"owner,omitempty"`   // owner of the item's segment
	Outcome string `json:"outcome,omitempty"` // state of the item's result: "pending" or "committed"
}
