package operator

import (
	"context"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
	"cowslipway/io/protocol/platform"
)

// Pointer names the version in force.
type Pointer struct {
	Version int64 `json:"version"`
}

// ErrRaced says that another version was put in force since the one that the operator saw.
const ErrRaced = errors.ConstError("another configuration was put in force meanwhile")

// ErrTooLarge says that a declaration exceeds what one record of the store holds.
const ErrTooLarge = errors.ConstError("declaration is too large")

const maxRecordBytes = 1 << 20

// ReadVersion reads one version from the store.
func ReadVersion(ctx context.Context, store *platform.Store, version int64) (configuration config.Configuration, err error) {
	defer func() { err = errors.Annotatef(err, "reading configuration %d", version) }()
	record, err := platform.Read[config.Configuration](ctx, store, platform.ConfigurationCall, platform.VersionKey(version))
	if err != nil {
		return configuration, err
	}
	if record.Revision == 0 {
		return configuration, errors.NotFoundf("configuration %d", version)
	}
	return record.Value.Indexed(), nil
}

// ReadCurrent reads the version in force, of version 0 where there is none yet.
func ReadCurrent(ctx context.Context, store *platform.Store) (configuration config.Configuration, revision int64, err error) {
	pointer, err := platform.Read[Pointer](ctx, store, platform.ConfigurationCall, platform.PointerKey)
	if err != nil || pointer.Revision == 0 {
		return configuration, 0, errors.Annotate(err, "reading the pointer to the configuration")
	}
	configuration, err = ReadVersion(ctx, store, pointer.Value.Version)
	return configuration, pointer.Revision, err
}

// Apply puts configuration in force as the version after base, which the operator has seen; the error's
// cause is ErrRaced where that is not the version in force any more: then nothing has changed.
func Apply(ctx context.Context, store *platform.Store, base int64, configuration config.Configuration, operation string) (version int64, err error) {
	defer func() { err = errors.Annotatef(err, "applying a configuration on version %d", base) }()
	version = base + 1
	current, revision, err := ReadCurrent(ctx, store)
	if err != nil {
		return 0, err
	}
	if current.Version != base {
		return version, resolve(ctx, store, version, operation)
	}
	document, err := platform.Encode(operation, configuration.WithVersion(version))
	if err != nil {
		return 0, err
	}
	if len(document) > maxRecordBytes {
		return 0, errors.Annotatef(ErrTooLarge, "%d bytes of at most %d", len(document), maxRecordBytes)
	}
	pointer, err := platform.Encode(operation, Pointer{Version: version})
	if err != nil {
		return 0, err
	}
	txn := platform.TxnRequest{
		Compare: []platform.Compare{platform.Unchanged(platform.PointerKey, revision), platform.Absent(platform.VersionKey(version))},
		Success: []platform.RequestOp{platform.Put(platform.VersionKey(version), document), platform.Put(platform.PointerKey, pointer)},
	}
	_, err = platform.Commit(ctx, store, platform.ConfigurationCall, txn, platform.VersionKey(version), operation)
	if errors.Is(err, platform.ErrConflict) {
		return 0, errors.WithType(err, ErrRaced)
	}
	return version, err
}

// resolve tells whether an apply that is sent again has taken effect before: the record of a version keeps
// the identifier of its write for ever.
func resolve(ctx context.Context, store *platform.Store, version int64, operation string) (err error) {
	record, err := platform.Read[config.Configuration](ctx, store, platform.ConfigurationCall, platform.VersionKey(version))
	if err != nil {
		return err
	}
	if record.Revision != 0 && record.Operation == operation {
		return nil
	}
	return ErrRaced
}
