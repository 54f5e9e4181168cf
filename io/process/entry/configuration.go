package entry

import (
	"context"

	"go.uber.org/zap"

	"cowslipway/io/protocol/operator"
	"cowslipway/io/protocol/platform"
)

// followConfiguration adopts each version that operators put in force in the store.
func (entry *Entry) followConfiguration(ctx context.Context) {
	entry.store.Follow(ctx, operator.PointerKey, func(found []platform.KeyValue) {
		for _, kv := range found {
			entry.adoptPointer(ctx, kv)
		}
	}, func(events []platform.Event) {
		for _, event := range events {
			if !event.Deleted() {
				entry.adoptPointer(ctx, event.KV)
			}
		}
	})
}

func (entry *Entry) adoptPointer(ctx context.Context, kv platform.KeyValue) {
	pointer, err := platform.DecodeRecord[operator.Pointer](kv)
	if err != nil {
		entry.Log.Error("pointer to the configuration can't be read", zap.Error(err))
		return
	}
	if pointer.Value.Version <= entry.configurations.Current().Version {
		return
	}
	configuration, err := operator.ReadVersion(ctx, entry.store, pointer.Value.Version)
	if err != nil {
		entry.Log.Warn("configuration can't be read", zap.Int64("version", pointer.Value.Version), zap.Error(err))
		return
	}
	if entry.configurations.Adopt(configuration) {
		entry.inForce(configuration.Version)
	}
}
