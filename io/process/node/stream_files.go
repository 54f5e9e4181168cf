package node

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/resumption"
	"cowslipway/io/process/telemetry"
)

const (
	streamBacklog      = 1024      // records that wait for the disk; further ones are left out
	maxStreamFileBytes = 512 << 10 // some 2,000 records: more than a worker gets in the time for which one is of use
)

// streamFiles keeps the records of streams that other members began on the disk, for the next process of this VM: all processes may be
// lost at once. They are not synced, as they are no use for long, and a process that ends loses nothing that it has written.
type streamFiles struct {
	directory string // empty: nothing is kept
	log       *zap.Logger

	queue chan resumption.Stream
	file  *os.File
	size  int64
}

// streamLine is a record in a file.
type streamLine struct {
	begunStream

	UntilUnixMilli int64 `json:"until"`
}

// paths returns the paths of the old and of the current file.
func (files *streamFiles) paths() (previous, current string) {
	return filepath.Join(files.directory, "streams.old"), filepath.Join(files.directory, "streams.new")
}

// read returns the records that the previous process kept, oldest first.
func (files *streamFiles) read(now time.Time) (kept []resumption.Stream) {
	previous, current := files.paths()
	skipped := 0
	for _, path := range []string{previous, current} {
		data, err := os.ReadFile(path) //nolint:gosec // the directory is from the settings
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			files.log.Warn("streams not read", zap.String("file", path), telemetry.Err(err))
		}
		for text := range bytes.Lines(data) {
			var line streamLine
			if len(bytes.TrimSpace(text)) == 0 {
				continue
			}
			if err := json.Unmarshal(text, &line); err != nil {
				skipped++ // the process ended while it wrote the line
				continue
			}
			if line.RemainingMS = line.UntilUnixMilli - now.UnixMilli(); line.RemainingMS > 0 {
				kept = append(kept, line.decode(now))
			}
		}
	}
	files.log.Info("streams read", zap.Int("streams", len(kept)), zap.Int("lines_left_out", skipped))
	return kept
}

// add queues a record. It never waits for the disk.
func (files *streamFiles) add(stream resumption.Stream) {
	select {
	case files.queue <- stream:
	default:
	}
}

// run writes the queued records until ctx ends.
func (files *streamFiles) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case stream := <-files.queue:
			if err := files.write(time.Now(), stream); err != nil {
				files.log.Warn("streams not written", telemetry.Err(err))
				if files.file != nil {
					_ = files.file.Close()
					files.file = nil
				}
				time.Sleep(time.Second) // a disk that fails is not tried for each record
			}
		}
	}
}

// write appends a record to the current file, which becomes the old one if it is full.
func (files *streamFiles) write(now time.Time, stream resumption.Stream) (err error) {
	defer func() { err = errors.Annotate(err, "writing the record of a stream") }()
	previous, current := files.paths()
	if files.file != nil && files.size > maxStreamFileBytes {
		_ = files.file.Close()
		files.file = nil
		if err = os.Rename(current, previous); err != nil {
			return err
		}
	}
	line, err := json.Marshal(streamLine{begunStream: encodeStream(now, stream), UntilUnixMilli: stream.Until.UnixMilli()})
	if err != nil {
		return err
	}
	if files.file == nil {
		if files.file, err = os.OpenFile(current, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil { //nolint:gosec // as above
			return err
		}
		info, err := files.file.Stat()
		if err != nil {
			return err
		}
		files.size = info.Size()
		line = append([]byte("\n"), line...) // the last line may be incomplete
	}
	written, err := files.file.Write(append(line, '\n'))
	files.size += int64(written)
	return err
}
