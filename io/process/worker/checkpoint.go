package worker

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/state/jobrecord"
	"cowslipway/io/process/telemetry"
)

const (
	checkpointInterval = time.Second // between two checkpoints of a running item; a crash loses the work since the last one on the disk
	maxCheckpointBytes = 48 << 20    // per file, a tenth of the smallest disk; larger files are rotated
	checkpointBacklog  = 1024        // checkpoints that wait for a slow disk; further ones are dropped
)

// checkpointFiles keeps the progress of items in two files on the VM's disk, so that a restarted process resumes items where
// the previous one stopped. The disk may be slow, fail writes or lose the files: items are then retried from the start.
type checkpointFiles struct {
	directory string
	log       *zap.Logger

	queue    chan jobrecord.Checkpoint
	warnOnce sync.Once
	file     *os.File
	size     int64     // bytes written to file
	paths    [2]string // of the old and the current file
}

// open returns the progress that the previous process has saved and starts to write the queue to the disk. Without a
// directory it does neither.
func (checkpoints *checkpointFiles) open() (saved jobrecord.ProgressByJob) {
	checkpoints.queue = make(chan jobrecord.Checkpoint, checkpointBacklog)
	if checkpoints.directory == "" {
		return nil
	}
	checkpoints.paths = [2]string{filepath.Join(checkpoints.directory, "progress.old"), filepath.Join(checkpoints.directory, "progress.new")}
	text := ""
	for _, path := range checkpoints.paths {
		data, err := os.ReadFile(path) //nolint:gosec // the directory is from the settings
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			checkpoints.log.Warn("progress not read", zap.String("file", path), telemetry.Err(err))
		}
		text += string(data)
	}
	saved, skipped := jobrecord.DecodeCheckpoints(text)
	checkpoints.log.Info("progress read", zap.Int("jobs", len(saved)), zap.Int("lines_left_out", skipped))
	go checkpoints.writeQueued()
	return saved
}

// add queues a checkpoint. It never waits for the disk: a checkpoint that does not fit the queue is dropped.
func (checkpoints *checkpointFiles) add(checkpoint jobrecord.Checkpoint) {
	select {
	case checkpoints.queue <- checkpoint:
	default:
		checkpoints.warnOnce.Do(func() { checkpoints.log.Warn("progress left out: the disk is slow") })
	}
}

// writeQueued writes the queued checkpoints to the disk, with one sync for many of them.
func (checkpoints *checkpointFiles) writeQueued() {
	for checkpoint := range checkpoints.queue {
		batch := []jobrecord.Checkpoint{checkpoint}
		for len(checkpoints.queue) > 0 {
			batch = append(batch, <-checkpoints.queue)
		}
		if err := checkpoints.append(batch); err != nil {
			checkpoints.log.Warn("progress not written", telemetry.Err(err))
			if checkpoints.file != nil {
				_ = checkpoints.file.Close() // the lines before an incomplete one remain readable
				checkpoints.file = nil
			}
		}
		time.Sleep(checkpointInterval / 2) // collects checkpoints, so that the disk syncs less often
	}
}

// append writes batch to the current file and syncs it.
func (checkpoints *checkpointFiles) append(batch []jobrecord.Checkpoint) (err error) {
	defer func() { err = errors.Annotate(err, "writing checkpoints") }()
	if checkpoints.size > maxCheckpointBytes || checkpoints.file == nil {
		if err = checkpoints.rotate(); err != nil {
			return err
		}
	}
	var lines []byte
	for _, checkpoint := range batch {
		line, err := jobrecord.EncodeCheckpoint(checkpoint)
		if err != nil {
			return err
		}
		lines = append(lines, line...)
	}
	written, err := checkpoints.file.Write(lines)
	checkpoints.size += int64(written)
	if err != nil {
		return err
	}
	return checkpoints.file.Sync()
}

// rotate starts a new file. The current file becomes the old one.
func (checkpoints *checkpointFiles) rotate() (err error) {
	if checkpoints.file != nil {
		_ = checkpoints.file.Close() // its content is synced
	}
	checkpoints.file, checkpoints.size = nil, 0
	if err = os.Rename(checkpoints.paths[1], checkpoints.paths[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	checkpoints.file, err = os.OpenFile(checkpoints.paths[1], os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return err
}
