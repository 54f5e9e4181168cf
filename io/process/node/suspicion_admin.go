package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/coordination/poisonpill"
	"cowslipway/io/port"
	"cowslipway/io/store"
)

// SuspicionAdmin gives operators access to the engine ends that members have written to the store.
type SuspicionAdmin struct {
	Store   *store.Store
	Records port.Records
}

// Suspect is a request, or a part of prompts, under which engines ended.
type Suspect struct {
	Fingerprint poisonpill.Fingerprint `json:"fingerprint"`
	Part        string                 `json:"part,omitempty"` // ID of the part; empty for a request
	Quarantined bool                   `json:"quarantined"`
	Until       time.Time              `json:"until,omitzero"` // end of the quarantine
	Ends        []poisonpill.EngineEnd `json:"ends"`
}

// List returns the requests under which engines ended, with the ends that still count.
func (admin SuspicionAdmin) List(ctx context.Context) (suspects []Suspect, err error) {
	defer func() { err = errors.Annotate(err, "listing suspicions") }()
	prefix := admin.Records.OwnKey(suspicionPrefix)
	items, _, err := admin.Store.ListAll(ctx, prefix)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	ledger := poisonpill.Ledger{MaxRequests: max(1, len(items)), MaxSound: max(1, len(items))}
	for _, item := range items {
		read, err := decodeSuspicion(time.Now(), item)
		if err != nil {
			continue // it does not count at the members either
		}
		for _, end := range read.Ends {
			ledger.Add(now, end)
		}
		for _, clearance := range read.Clearances {
			ledger.Clear(clearance)
		}
	}
	indexes := map[poisonpill.Fingerprint]int{}
	for _, end := range ledger.All(now) {
		index, ok := indexes[end.Fingerprint]
		if !ok {
			quarantine, quarantined := ledger.Quarantine(now, end.Fingerprint)
			index, suspects = len(suspects), append(suspects, Suspect{Fingerprint: end.Fingerprint, Part: end.Part, Quarantined: quarantined, Until: quarantine.Until})
			indexes[end.Fingerprint] = index
		}
		suspects[index].Ends = append(suspects[index].Ends, end)
	}
	return suspects, nil
}

// Lift ends the quarantine of a request. Engine ends up to now do not count any longer at any member that reads the store.
func (admin SuspicionAdmin) Lift(ctx context.Context, fingerprint poisonpill.Fingerprint) (err error) {
	defer func() { err = errors.Annotatef(err, "lifting the quarantine of %s", fingerprint) }()
	suspects, err := admin.List(ctx)
	if err != nil {
		return err
	}
	clearance := poisonpill.Clearance{Fingerprint: fingerprint, At: time.Now()}
	for _, suspect := range suspects {
		for _, end := range suspect.Ends {
			if suspect.Fingerprint == fingerprint && end.Ended.After(clearance.At) {
				clearance.At = end.Ended // the clock of the member that reported it is ahead of this one
			}
		}
	}
	value, err := json.Marshal(clearance)
	if err != nil {
		return err
	}
	key := admin.Records.OwnKey(clearanceKey(clearance))
	_, _, err = admin.Store.Commit(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
	return err
}
