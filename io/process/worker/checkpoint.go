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
	checkpointPeriod = time.Second // of an item's work that a lost process may lose
	checkpointLimit  = 48 << 20    // bytes of a file, a tenth of the smallest disk; then a new one is begun
	checkpointQueue  = 1024        // steps that wait for a slow disk; more are left out
)

// checkpoints keeps the progress of items on the VM's disk, so that a process that is started again goes on where the
// lost one was. The disk may be slow, refuse writes or lose all: items then start anew.
type checkpoints struct {
	directory string
	log       *zap.Logger

	queue chan jobrecord.Checkpoint
	once  sync.Once
	file  *os.File
	size  int64
	names [2]string
}

// open reads what a former process has left and starts to write; without a directory nothing is kept.
func (checkpoints *checkpoints) open() (left jobrecord.ProgressByJob) {
	checkpoints.queue = make(chan jobrecord.Checkpoint, checkpointQueue)
	if checkpoints.directory == "" {
		return nil
	}
	checkpoints.names = [2]string{filepath.Join(checkpoints.directory, "progress.old"), filepath.Join(checkpoints.directory, "progress.new")}
	text := ""
	for _, name := range checkpoints.names {
		data, err := os.ReadFile(name) //nolint:gosec // the directory is from the settings
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			checkpoints.log.Warn("progress not read", zap.String("file", name), telemetry.Err(err))
		}
		text += string(data)
	}
	left, torn := jobrecord.DecodeCheckpoints(text)
	checkpoints.log.Info("progress read", zap.Int("jobs", len(left)), zap.Int("lines_left_out", torn))
	go checkpoints.write()
	return left
}

// add queues one step; it never waits for the disk.
func (checkpoints *checkpoints) add(checkpoint jobrecord.Checkpoint) {
	select {
	case checkpoints.queue <- checkpoint:
	default:
		checkpoints.once.Do(func() { checkpoints.log.Warn("progress left out: the disk is slow") })
	}
}

// write puts queued steps on the disk, many with one sync.
func (checkpoints *checkpoints) write() {
	for checkpoint := range checkpoints.queue {
		batch := []jobrecord.Checkpoint{checkpoint}
		for len(checkpoints.queue) > 0 {
			batch = append(batch, <-checkpoints.queue)
		}
		if err := checkpoints.append(batch); err != nil {
			checkpoints.log.Warn("progress not written", telemetry.Err(err))
			if checkpoints.file != nil {
				_ = checkpoints.file.Close() // what it holds is read up to the torn line
				checkpoints.file = nil
			}
		}
		time.Sleep(checkpointPeriod / 2) // gathers, and spares the disk
	}
}

func (checkpoints *checkpoints) append(batch []jobrecord.Checkpoint) (err error) {
	defer func() { err = errors.Annotate(err, "writing progress") }()
	if checkpoints.size > checkpointLimit || checkpoints.file == nil {
		if err = checkpoints.begin(); err != nil {
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

// begin starts a new file; the newer one becomes the older.
func (checkpoints *checkpoints) begin() (err error) {
	if checkpoints.file != nil {
		_ = checkpoints.file.Close() // it was synced
	}
	checkpoints.file, checkpoints.size = nil, 0
	if err = os.Rename(checkpoints.names[1], checkpoints.names[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	checkpoints.file, err = os.OpenFile(checkpoints.names[1], os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return err
}
