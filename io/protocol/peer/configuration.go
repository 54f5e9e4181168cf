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
	retainedVersions      = 64
)

var (
	// An error would mean options that do not exist.
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxConfigurationBytes), zstd.WithDecoderConcurrency(1))
)

// Configurations holds the newest configuration that a daemon knows and what others need to catch up with
// it. It never goes back; it is safe for concurrent use.
type Configurations struct {
	mutex   sync.Mutex
	current config.Configuration
	recent  []config.Configuration // older versions, the oldest first
}

// Current returns the newest configuration, of version 0 where none is known.
func (configurations *Configurations) Current() config.Configuration {
	configurations.mutex.Lock()
	defer configurations.mutex.Unlock()
	return configurations.current
}

// SetIfNewer takes a configuration; it reports false for one that is not newer.
func (configurations *Configurations) SetIfNewer(newer config.Configuration) (adopted bool) {
	configurations.mutex.Lock()
	defer configurations.mutex.Unlock()
	return configurations.adopt(newer)
}

func (configurations *Configurations) adopt(newer config.Configuration) (adopted bool) {
	if newer.Version <= configurations.current.Version {
		return false
	}
	if configurations.current.Version > 0 {
		configurations.recent = append(configurations.recent, configurations.current)
	}
	if len(configurations.recent) > retainedVersions {
		configurations.recent = configurations.recent[1:]
	}
	configurations.current = newer
	return true
}

// UpdateSince returns the message that brings a peer from version up to date; ok is false where it is not behind.
func (configurations *Configurations) UpdateSince(version int64) (message ConfigurationUpdate, ok bool) {
	configurations.mutex.Lock()
	defer configurations.mutex.Unlock()
	if version >= configurations.current.Version {
		return ConfigurationUpdate{}, false
	}
	message.Version = configurations.current.Version
	var content any = configurations.current
	for _, older := range configurations.recent {
		if older.Version == version {
			content, message.Delta = config.Diff(older, configurations.current), true
			break
		}
	}
	data, err := json.Marshal(content)
	if err != nil {
		return ConfigurationUpdate{}, false
	}
	message.Data = compressor.EncodeAll(data, nil)
	return message, true
}

// ApplyUpdate adopts what a peer sent; it reports whether this was news.
func (configurations *Configurations) ApplyUpdate(message ConfigurationUpdate) (adopted bool, err error) {
	defer func() { err = errors.Annotatef(err, "taking configuration %d from a peer", message.Version) }()
	configurations.mutex.Lock()
	defer configurations.mutex.Unlock()
	if message.Version <= configurations.current.Version {
		return false, nil
	}
	data, err := decompressor.DecodeAll(message.Data, nil)
	if err != nil {
		return false, err
	}
	newer, err := configurations.decode(message.Delta, data)
	if err != nil {
		return false, err
	}
	return configurations.adopt(newer), nil
}

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
