package etcd

// The messages below follow the JSON mapping of etcd's v3 interface (etcdserverpb, mvccpb): 64-bit
// integers are text and keys and values are base64.

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Version     int64  `json:"version,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// ResponseHeader carries the revision of the store.
type ResponseHeader struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// RangeRequest reads one key, or the keys from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the answer to a RangeRequest.
type RangeResponse struct {
	Header ResponseHeader `json:"header"`
	KVs    []KeyValue     `json:"kvs,omitempty"`
	More   bool           `json:"more,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes one key, or the keys from Key up to RangeEnd.
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

// RequestOp is one operation of a transaction; just one field is set.
type RequestOp struct {
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	Range  *RangeRequest       `json:"request_range,omitempty"`
}

// TxnRequest carries out Success where every condition holds, otherwise Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation of a transaction.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the answer to a TxnRequest.
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

// LeaseResponse is the answer to a LeaseRequest; a TTL of 0 says that the lease is gone.
type LeaseResponse struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse wraps the answer to the renewal of a lease, which is a stream in etcd.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest names the keys that are watched and the first revision of interest.
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

// Deleted reports whether the key is gone.
func (event Event) Deleted() bool { return event.Type == "DELETE" }

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult carries the changes.
type WatchResult struct {
	Header  ResponseHeader `json:"header"`
	Created bool           `json:"created,omitempty"`
	Events  []Event        `json:"events,omitempty"`
}

// VM is one line of the platform's list of VMs.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP number and UDP port of the system's process on it
	Place   string `json:"place"`
	Role    string `json:"role"`  // entry or target
	State   string `json:"state"` // live or leaving
}

// The states and roles of VMs.
const (
	LiveState    = "live"
	LeavingState = "leaving"
	TargetRole   = "target"
	EntryRole    = "entry"
)

// PrefixEnd returns the end of the range of the keys that begin with prefix.
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
