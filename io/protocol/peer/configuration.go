package peer

import (
	"encoding/json"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"cowslipway/core/state/config"
)

const (
	maxConfigurationBytes = 64 << 20 // decompressed
	maxRecentVersions     = 64
)

var (
	// The errors are ignored: both constructors fail only on invalid options.
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxConfigurationBytes), zstd.WithDecoderConcurrency(1))
)

// Configurations holds the newest known configuration, whose version never decreases, and recent older versions, which serve
// as bases of deltas for peers. Configurations is safe for concurrent use.
type Configurations struct {
	mutex   sync.Mutex
	current config.Configuration
	recent  []config.Configuration // older versions, oldest first
}

// Current returns the newest known configuration. Its version is 0 if none is known.
func (configurations *Configurations) Current() config.Configuration {
	configurations.mutex.Lock()
	defer configurations.mutex.Unlock()
	return configurations.current
}

// SetIfNewer makes newer the current configuration if its version is higher, and reports whether it did.
func (configurations *Configurations) SetIfNewer(newer config.Configuration) (updated bool) {
	configurations.mutex.Lock()
	defer configurations.mutex.Unlock()
	return configurations.setIfNewer(newer)
}

// setIfNewer does the work of SetIfNewer. The caller must hold the mutex.
func (configurations *Configurations) setIfNewer(newer config.Configuration) (updated bool) {
	if newer.Version <= configurations.current.Version {
		return false
	}
	if configurations.current.Version > 0 {
		configurations.recent = append(configurations.recent, configurations.current)
	}
	if len(configurations.recent) > maxRecentVersions {
		configurations.recent = configurations.recent[1:]
	}
	configurations.current = newer
	return true
}

// UpdateSince returns the update from version to the current configuration: a delta if version is among the recent ones,
// the whole configuration otherwise. It reports false if version is not older than the current one or the encoding fails.
func (configurations *Configurations) UpdateSince(version int64) (update ConfigurationUpdate, ok bool) {
	configurations.mutex.Lock()
	defer configurations.mutex.Unlock()
	if version >= configurations.current.Version {
		return ConfigurationUpdate{}, false
	}
	update.Version = configurations.current.Version
	var content any = configurations.current
	for _, older := range configurations.recent {
		if older.Version == version {
			content, update.Delta = config.Diff(older, configurations.current), true
			break
		}
	}
	data, err := json.Marshal(content)
	if err != nil {
		return ConfigurationUpdate{}, false
	}
	update.Data = compressor.EncodeAll(data, nil)
	return update, true
}

// ApplyUpdate applies an update received from a peer and reports whether the current configuration changed.
func (configurations *Configurations) ApplyUpdate(update ConfigurationUpdate) (updated bool, err error) {
	defer func() { err = errors.Annotatef(err, "applying update to configuration version %d", update.Version) }()
	configurations.mutex.Lock()
	defer configurations.mutex.Unlock()
	if update.Version <= configurations.current.Version {
		return false, nil
	}
	data, err := decompressor.DecodeAll(update.Data, nil)
	if err != nil {
		return false, err
	}
	newer, err := configurations.decode(update.Delta, data)
	if err != nil {
		return false, err
	}
	return configurations.setIfNewer(newer), nil
}

// decode decodes a whole configuration, or a delta that it applies to the current configuration.
func (configurations *Configurations) decode(isDelta bool, data []byte) (newer config.Configuration, err error) {
	if !isDelta {
		return config.Decode(data)
	}
	var delta config.Delta
	if err = json.Unmarshal(data, &delta); err != nil {
		return newer, err
	}
	return configurations.current.WithDelta(delta)
}
