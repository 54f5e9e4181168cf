package etcd

// The types below follow the JSON mapping of the etcd v3 API (etcdserverpb, mvccpb): 64-bit integers are encoded as strings,
// keys and values as base64.

// KeyValue is a key with its value, its lease, its version and the revision of its last change.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Version     int64  `json:"version,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// ResponseHeader holds the revision of the store.
type ResponseHeader struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// RangeRequest reads one key, or the keys from Key up to, but not including, RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header ResponseHeader `json:"header"`
	KVs    []KeyValue     `json:"kvs,omitempty"`
	More   bool           `json:"more,omitempty"`
}

// PutRequest writes a key and, unless Lease is 0, binds it to a lease.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes one key, or the keys from Key up to, but not including, RangeEnd.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result      string `json:"result"` // EQUAL or GREATER
	Target      string `json:"target"` // MOD or VERSION
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Version     int64  `json:"version,string,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	Range  *RangeRequest       `json:"request_range,omitempty"`
}

// TxnRequest executes the operations in Success if all conditions hold, otherwise those in Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation of a transaction.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    ResponseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
	Responses []ResponseOp   `json:"responses,omitempty"`
}

// LeaseRequest grants, renews or revokes a lease; TTL is in seconds.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest; TTL is in seconds, 0 if the lease does not exist.
type LeaseResponse struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse wraps the response to the renewal of a lease, which etcd sends as a message of a stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest holds the range of the watched keys and the first revision whose changes are sent.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// Event is one change of a watched key.
type Event struct {
	Type string   `json:"type,omitempty"` // empty (PUT) or DELETE
	KV   KeyValue `json:"kv"`
}

// Deleted reports whether the key was deleted.
func (event Event) Deleted() bool { return event.Type == "DELETE" }

// WatchResponse is one message in the response stream of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds the changes in one message of a watch.
type WatchResult struct {
	Header  ResponseHeader `json:"header"`
	Created bool           `json:"created,omitempty"`
	// Canceled is set in the last message of a watch, which the service has ended, for example because it has compacted the revisions
	// to be watched. The connection stays open.
	Canceled bool    `json:"canceled,omitempty"`
	Events   []Event `json:"events,omitempty"`
}

// VM is an item of the platform's list of VMs.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP address and UDP port of the process of the system on the VM
	Place   string `json:"place"`
	Role    string `json:"role"`  // entry or target
	State   string `json:"state"` // live or leaving
}

// The states and roles of VMs in the platform's list.
const (
	LiveState    = "live"
	LeavingState = "leaving"
	TargetRole   = "target"
	EntryRole    = "entry"
)

// PrefixEnd returns the RangeEnd of the range of all keys that start with prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
