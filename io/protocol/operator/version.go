package operator

import (
	"context"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
	"cowslipway/io/protocol/etcd"
)

// VersionPointer names the version in force.
type VersionPointer struct {
	Version int64 `json:"version"`
}

// ErrVersionConflict says that another version was put in force since the one that the operator saw.
const ErrVersionConflict = errors.ConstError("another configuration was put in force meanwhile")

// ErrTooLarge says that a declaration exceeds what one record of the store holds.
const ErrTooLarge = errors.ConstError("declaration is too large")

const maxRecordBytes = 1 << 20

// ReadVersion reads one version from the store.
func ReadVersion(ctx context.Context, store *etcd.Store, version int64) (configuration config.Configuration, err error) {
	defer func() { err = errors.Annotatef(err, "reading configuration %d", version) }()
	record, err := etcd.Read[config.Configuration](ctx, store, etcd.ConfigurationCall, etcd.VersionKey(version))
	if err != nil {
		return configuration, err
	}
	if record.Revision == 0 {
		return configuration, errors.NotFoundf("configuration %d", version)
	}
	return record.Value.Indexed(), nil
}

// ReadCurrent reads the version in force, of version 0 where there is none yet.
func ReadCurrent(ctx context.Context, store *etcd.Store) (configuration config.Configuration, revision int64, err error) {
	pointer, err := etcd.Read[VersionPointer](ctx, store, etcd.ConfigurationCall, etcd.CurrentVersionKey)
	if err != nil || pointer.Revision == 0 {
		return configuration, 0, errors.Annotate(err, "reading the pointer to the configuration")
	}
	configuration, err = ReadVersion(ctx, store, pointer.Value.Version)
	return configuration, pointer.Revision, err
}

// Apply puts configuration in force as the version after base, which the operator has seen; the error's
// cause is ErrRaced where that is not the version in force any more: then nothing has changed.
func Apply(ctx context.Context, store *etcd.Store, base int64, configuration config.Configuration, operation string) (version int64, err error) {
	defer func() { err = errors.Annotatef(err, "applying a configuration on version %d", base) }()
	version = base + 1
	current, revision, err := ReadCurrent(ctx, store)
	if err != nil {
		return 0, err
	}
	if current.Version != base {
		return version, resolve(ctx, store, version, operation)
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

// resolve tells whether an apply that is sent again has taken effect before: the record of a version keeps
// the identifier of its write for ever.
func resolve(ctx context.Context, store *etcd.Store, version int64, operation string) (err error) {
	record, err := etcd.Read[config.Configuration](ctx, store, etcd.ConfigurationCall, etcd.VersionKey(version))
	if err != nil {
		return err
	}
	if record.Revision != 0 && record.Operation == operation {
		return nil
	}
	return ErrVersionConflict
}
