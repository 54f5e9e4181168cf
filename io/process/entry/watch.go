package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/state/openaibatch"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/operator"
)

const (
	leaseTTL           = 10 * time.Second
	leaseRenewInterval = 3 * time.Second
	quarantineTTL      = 24 * time.Hour
)

// Presence is what an entry tells of itself in the store, under its lease.
type Presence struct {
	Name    string `json:"name"`
	Place   string `json:"place"`
	Version int64  `json:"version"` // of its configuration
}

// startStoreTasks begins what needs the platform's key-value service.
func (entry *Entry) startStoreTasks(ctx context.Context) {
	if entry.store == nil {
		return
	}
	go entry.watchLiveKeys(ctx)
	go entry.maintainPresence(ctx)
	go entry.renewClaimLease(ctx)
}

// watchLiveKeys keeps up with everything below the live prefix, in one watch.
func (entry *Entry) watchLiveKeys(ctx context.Context) {
	entry.store.Follow(ctx, etcd.WatchedPrefix, func(found []etcd.KeyValue) {
		entry.send(liveKeysResetEvent{})
		for _, kv := range found {
			entry.applyLiveKey(ctx, kv, false)
		}
	}, func(events []etcd.Event) {
		for _, event := range events {
			entry.applyLiveKey(ctx, event.KV, event.Deleted())
		}
	})
}

// applyLiveKey takes one key below the live prefix.
func (entry *Entry) applyLiveKey(ctx context.Context, kv etcd.KeyValue, deleted bool) {
	key := string(kv.Key)
	name := etcd.LastElement(key)
	switch {
	case key == etcd.CurrentVersionKey:
		if !deleted {
			entry.adoptCurrentConfiguration(ctx, kv)
		}
	case strings.HasPrefix(key, etcd.EntriesPrefix):
		entry.send(presenceEvent{incarnation: name, deleted: deleted, presence: decodeOrDefault(kv, Presence{})})
	case strings.HasPrefix(key, etcd.ActiveJobsPrefix):
		if deleted {
			entry.send(jobEndedEvent{jobID: name})
			return
		}
		entry.send(jobActiveEvent{record: decodeOrDefault(kv, openaibatch.Job{}), revision: kv.ModRevision})
	case strings.HasPrefix(key, etcd.PoisonPillPrefix):
		if fingerprint, err := strconv.ParseUint(name, 16, 64); err == nil && !deleted {
			entry.suspects.merge(nil, []uint64{fingerprint})
		}
	case strings.HasPrefix(key, etcd.DrainPrefix):
		entry.send(drainDaemonEvent{daemon: name, cancelled: deleted})
	}
}

// decodeOrDefault reads a record; one that can't be read counts as fallback.
func decodeOrDefault[T any](kv etcd.KeyValue, fallback T) T {
	if len(kv.Value) == 0 {
		return fallback
	}
	var record etcd.Record[T]
	if json.Unmarshal(kv.Value, &record) != nil {
		return fallback
	}
	return record.Value
}

func (entry *Entry) adoptCurrentConfiguration(ctx context.Context, kv etcd.KeyValue) {
	pointer := decodeOrDefault(kv, operator.VersionPointer{})
	if pointer.Version <= entry.configurations.Current().Version {
		return
	}
	configuration, err := operator.ReadVersion(ctx, entry.store, pointer.Version)
	if err != nil {
		entry.Log.Warn("configuration can't be read", zap.Int64("version", pointer.Version), zap.Error(err))
		return
	}
	if entry.configurations.SetIfNewer(configuration) {
		entry.configurationAdopted(configuration.Version)
	}
}

// maintainPresence keeps the entry's lease alive, and its record under it. When the lease was lost, the entry
// comes back under a new one: what another has taken over meanwhile is found out by compare-and-swap.
func (entry *Entry) maintainPresence(ctx context.Context) {
	var lease, version int64
	ticker := time.NewTicker(leaseRenewInterval)
	defer ticker.Stop()
	for {
		lease, version = entry.renewPresence(ctx, lease, version)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renewPresence returns the lease that is held now, 0 for none, and the version that the record under it tells.
func (entry *Entry) renewPresence(ctx context.Context, lease, published int64) (held, version int64) {
	if lease != 0 {
		alive, err := entry.store.KeepLease(ctx, lease)
		if err != nil {
			return lease, published
		}
		if !alive {
			lease = 0
		}
	}
	current := entry.configurations.Current().Version
	if lease != 0 && published == current {
		return lease, published
	}
	if lease == 0 {
		granted, err := entry.store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return 0, 0
		}
		lease = granted
	}
	presence := Presence{Name: entry.Settings.Name, Place: entry.Settings.Place, Version: current}
	data, err := etcd.Encode(etcd.NewOperation(), presence)
	if err != nil {
		return lease, published
	}
	put := etcd.Put(etcd.EntryKey(entry.incarnation), data)
	put.Put.Lease = lease
	if _, err = entry.store.Txn(ctx, etcd.LeaseCall, etcd.TxnRequest{Success: []etcd.RequestOp{put}}); err != nil {
		return lease, published
	}
	entry.presenceLease.Store(lease)
	return lease, current
}

// storeQuarantined stores verdicts, so that entries that start later know them too.
func (entry *Entry) storeQuarantined(fingerprints []uint64) {
	if entry.store == nil || len(fingerprints) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseTTL)
	defer cancel()
	lease, err := entry.store.GrantLease(ctx, quarantineTTL)
	if err != nil {
		return
	}
	var puts []etcd.RequestOp
	for _, fingerprint := range fingerprints {
		data, err := etcd.Encode(etcd.NewOperation(), Presence{Name: entry.Settings.Name})
		if err != nil {
			return
		}
		put := etcd.Put(etcd.PoisonPillKey(fingerprint), data)
		put.Put.Lease = lease
		puts = append(puts, put)
	}
	// Other daemons hear of the verdict from this one all the same, so a failure loses little.
	_, _ = entry.store.Txn(ctx, etcd.OtherCall, etcd.TxnRequest{Success: puts})
}
