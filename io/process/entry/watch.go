package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/state/openaibatch"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/operator"
)

const (
	leaseTTL           = 10 * time.Second // of the presence record
	leaseRenewInterval = 3 * time.Second
	quarantineTTL      = 24 * time.Hour // of quarantined fingerprints in the store

	storeQuarantinesInterval = heartbeatInterval
	maxQuarantinesPerTxn     = 100
)

// Presence is the record of a live entry in the store, attached to the lease of the entry.
type Presence struct {
	Name    string `json:"name"`
	Place   string `json:"place"`
	Version int64  `json:"version"` // of the entry's configuration
}

// startStoreTasks starts the background tasks that use the store, if there is one.
func (entry *Entry) startStoreTasks(ctx context.Context) {
	if entry.store == nil {
		return
	}
	go entry.watchKeys(ctx)
	go entry.maintainPresence(ctx)
	go entry.renewClaimLease(ctx)
	go entry.storeQuarantines(ctx)
}

// watchKeys follows all keys below [etcd.WatchedPrefix] with one watch.
func (entry *Entry) watchKeys(ctx context.Context) {
	entry.store.Follow(ctx, etcd.WatchedPrefix, func(found []etcd.KeyValue) {
		entry.send(watchedKeysResetEvent{})
		for _, kv := range found {
			entry.applyWatchedKey(ctx, kv, false)
		}
	}, func(events []etcd.Event) {
		for _, event := range events {
			entry.applyWatchedKey(ctx, event.KV, event.Deleted())
		}
	})
}

// applyWatchedKey applies one watched key that was read, written or deleted.
func (entry *Entry) applyWatchedKey(ctx context.Context, kv etcd.KeyValue, deleted bool) {
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

// decodeOrDefault decodes a record. It returns fallback if the record is empty or invalid.
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

// adoptCurrentConfiguration reads and adopts the configuration version that kv names, if it is newer than the current
// one.
func (entry *Entry) adoptCurrentConfiguration(ctx context.Context, kv etcd.KeyValue) {
	current := decodeOrDefault(kv, operator.VersionPointer{})
	if current.Version <= entry.configurations.Current().Version {
		return
	}
	configuration, err := operator.ReadVersion(ctx, entry.store, current.Version)
	if err != nil {
		entry.Log.Warn("cannot read configuration", zap.Int64("version", current.Version), zap.Error(err))
		return
	}
	if entry.configurations.SetIfNewer(configuration) {
		entry.configurationAdopted(configuration.Version)
	}
}

// maintainPresence keeps the entry's lease alive and its presence record up to date. If the lease expires, the entry
// gets a new one; if another entry has claimed one of its segments by then, the next commit of that segment fails with
// a conflict.
func (entry *Entry) maintainPresence(ctx context.Context) {
	var lease, publishedVersion int64
	ticker := time.NewTicker(leaseRenewInterval)
	defer ticker.Stop()
	for {
		lease, publishedVersion = entry.renewPresence(ctx, lease, publishedVersion)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renewPresence renews the lease and writes the presence record if needed. lease and publishedVersion are the results of
// the previous call. It returns the current lease, 0 for none, and the configuration version in the presence record.
func (entry *Entry) renewPresence(ctx context.Context, lease, publishedVersion int64) (held, version int64) {
	if lease != 0 {
		alive, err := entry.store.KeepLease(ctx, lease)
		if err != nil {
			return lease, publishedVersion
		}
		if !alive {
			lease = 0
		}
	}
	current := entry.configurations.Current().Version
	if lease != 0 && publishedVersion == current {
		return lease, publishedVersion
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
		return lease, publishedVersion
	}
	put := etcd.Put(etcd.EntryKey(entry.incarnation), data)
	put.Put.Lease = lease
	if _, err = entry.store.Txn(ctx, etcd.LeaseCall, etcd.TxnRequest{Success: []etcd.RequestOp{put}}); err != nil {
		return lease, publishedVersion
	}
	entry.presenceLease.Store(lease)
	return lease, current
}

// storeQuarantines stores quarantined fingerprints for other entries, including those that start later. It retries while the
// store is unavailable.
func (entry *Entry) storeQuarantines(ctx context.Context) {
	ticker := time.NewTicker(storeQuarantinesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		fingerprints := entry.suspects.firstUnstored(maxQuarantinesPerTxn)
		if len(fingerprints) > 0 && entry.storeQuarantined(ctx, fingerprints) == nil {
			entry.suspects.stored(len(fingerprints))
		}
	}
}

// storeQuarantined stores quarantined fingerprints under a new lease.
func (entry *Entry) storeQuarantined(ctx context.Context, fingerprints []uint64) (err error) {
	defer func() { err = errors.Annotate(err, "storing quarantined requests") }()
	ctx, cancel := context.WithTimeout(ctx, leaseTTL)
	defer cancel()
	lease, err := entry.store.GrantLease(ctx, quarantineTTL)
	if err != nil {
		return err
	}
	var puts []etcd.RequestOp
	for _, fingerprint := range fingerprints {
		data, err := etcd.Encode(etcd.NewOperation(), Presence{Name: entry.Settings.Name})
		if err != nil {
			return err
		}
		put := etcd.Put(etcd.PoisonPillKey(fingerprint), data)
		put.Put.Lease = lease
		puts = append(puts, put)
	}
	_, err = entry.store.Txn(ctx, etcd.OtherCall, etcd.TxnRequest{Success: puts})
	return err
}
