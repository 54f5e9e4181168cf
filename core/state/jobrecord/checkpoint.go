package jobrecord

import (
	"encoding/json"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Progress is what the runs of an item have had so far: a later one goes on from there.
type Progress struct {
	LastEvent string   `json:"last_event,omitempty"`
	Data      []string `json:"data,omitempty"` // of each event
}

// Checkpoint is a step of an item's progress, as it is kept on a disk that may tear what was written last.
type Checkpoint struct {
	Job       string   `json:"job"`
	Item      string   `json:"item"`
	Offset    int      `json:"from"` // events that earlier checkpoints hold
	LastEvent string   `json:"last_event"`
	Data      []string `json:"data"`
}

// EncodeCheckpoint writes a line with a checksum.
func EncodeCheckpoint(checkpoint Checkpoint) (line []byte, err error) {
	body, err := json.Marshal(checkpoint)
	if err != nil {
		return nil, errors.Annotate(err, "encoding a checkpoint")
	}
	line = strconv.AppendUint(nil, uint64(crc32.ChecksumIEEE(body)), 16)
	line = append(append(append(line, ' '), body...), '\n')
	return line, nil
}

// ProgressByJob is the progress of items by job and item.
type ProgressByJob map[string]map[string]Progress

// DecodeCheckpoints puts lines together. Lines that are torn, and those that follow on one that is missing, are left out
// and counted: the item then goes on from an earlier event.
func DecodeCheckpoints(text string) (progresses ProgressByJob, left int) {
	progresses = ProgressByJob{}
	for line := range strings.Lines(text) {
		checkpoint, ok := decodeCheckpoint(strings.TrimSuffix(line, "\n"))
		if !ok || !progresses.add(checkpoint) {
			left++
		}
	}
	return progresses, left
}

func decodeCheckpoint(line string) (checkpoint Checkpoint, ok bool) {
	digits, body, _ := strings.Cut(line, " ")
	sum, err := strconv.ParseUint(digits, 16, 32)
	if err != nil || uint32(sum) != crc32.ChecksumIEEE([]byte(body)) {
		return checkpoint, false
	}
	return checkpoint, json.Unmarshal([]byte(body), &checkpoint) == nil
}

func (progresses ProgressByJob) add(checkpoint Checkpoint) (ok bool) {
	items := progresses[checkpoint.Job]
	if items == nil {
		items = map[string]Progress{}
		progresses[checkpoint.Job] = items
	}
	known := items[checkpoint.Item]
	if checkpoint.Offset == 0 {
		known = Progress{} // a run from the start
	}
	if checkpoint.Offset != len(known.Data) {
		return false
	}
	items[checkpoint.Item] = Progress{LastEvent: checkpoint.LastEvent, Data: append(known.Data[:checkpoint.Offset:checkpoint.Offset], checkpoint.Data...)}
	return true
}
