package operator

import (
	"context"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
	"cowslipway/io/protocol/etcd"
)

// VersionPointer is the stored record of the current configuration version.
type VersionPointer struct {
	Version int64 `json:"version"`
}

// ErrVersionConflict is the cause of the error of a change whose base is not the current version.
const ErrVersionConflict = errors.ConstError("another configuration version was applied concurrently")

// ErrTooLarge is the cause of the error of a configuration whose record exceeds maxRecordBytes.
const ErrTooLarge = errors.ConstError("declaration is too large")

const maxRecordBytes = 1 << 20

// ReadVersion reads a configuration version from the store. It returns an errors.NotFound error if the version does not
// exist.
func ReadVersion(ctx context.Context, store *etcd.Store, version int64) (configuration config.Configuration, err error) {
	defer func() { err = errors.Annotatef(err, "reading configuration version %d", version) }()
	record, err := etcd.Read[config.Configuration](ctx, store, etcd.ConfigurationCall, etcd.VersionKey(version))
	if err != nil {
		return configuration, err
	}
	if record.Revision == 0 {
		return configuration, errors.NotFoundf("configuration version %d", version)
	}
	return record.Value.Indexed(), nil
}

// ReadCurrent reads the current configuration and the store revision of its VersionPointer. Both the version and the revision
// are 0 if no configuration exists.
func ReadCurrent(ctx context.Context, store *etcd.Store) (configuration config.Configuration, revision int64, err error) {
	pointer, err := etcd.Read[VersionPointer](ctx, store, etcd.ConfigurationCall, etcd.CurrentVersionKey)
	if err != nil || pointer.Revision == 0 {
		return configuration, 0, errors.Annotate(err, "reading the current configuration version")
	}
	configuration, err = ReadVersion(ctx, store, pointer.Value.Version)
	return configuration, pointer.Revision, err
}

// Apply stores configuration as version base+1, makes it the current version and returns its number. If the current version
// is not base, it changes nothing and returns an error with the cause ErrVersionConflict. It succeeds if an earlier call with
// the same operation has stored version base+1.
func Apply(ctx context.Context, store *etcd.Store, base int64, configuration config.Configuration, operation string) (version int64, err error) {
	defer func() { err = errors.Annotatef(err, "applying a configuration on version %d", base) }()
	version = base + 1
	current, revision, err := ReadCurrent(ctx, store)
	if err != nil {
		return 0, err
	}
	if current.Version != base {
		return version, checkApplied(ctx, store, version, operation)
	}
	document, err := etcd.Encode(operation, configuration.WithVersion(version))
	if err != nil {
		return 0, err
	}
	if len(document) > maxRecordBytes {
		return 0, errors.Annotatef(ErrTooLarge, "%d bytes of at most %d", len(document), maxRecordBytes)
	}
	pointer, err := etcd.Encode(operation, VersionPointer{Version: version})
	if err != nil {
		return 0, err
	}
	txn := etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Unchanged(etcd.CurrentVersionKey, revision), etcd.Absent(etcd.VersionKey(version))},
		Success: []etcd.RequestOp{etcd.Put(etcd.VersionKey(version), document), etcd.Put(etcd.CurrentVersionKey, pointer)},
	}
	_, err = etcd.Commit(ctx, store, etcd.ConfigurationCall, txn, etcd.VersionKey(version), operation)
	if errors.Is(err, etcd.ErrConflict) {
		return 0, errors.WithType(err, ErrVersionConflict)
	}
	return version, err
}

// checkApplied returns nil if version was stored by operation, and ErrVersionConflict if it was not. A version's record is
// never overwritten, so it keeps the ID of the operation that stored it.
func checkApplied(ctx context.Context, store *etcd.Store, version int64, operation string) (err error) {
	record, err := etcd.Read[config.Configuration](ctx, store, etcd.ConfigurationCall, etcd.VersionKey(version))
	if err != nil {
		return err
	}
	if record.Revision != 0 && record.Operation == operation {
		return nil
	}
	return ErrVersionConflict
}
