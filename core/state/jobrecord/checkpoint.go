package jobrecord

import (
	"encoding/json"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"cowslipway/core/state/fleet"
)

// Progress holds the events that an unfinished item has produced so far. The next run of the item resumes after them.
type Progress struct {
	LastEventID string      `json:"last_event,omitempty"` // ID of the last event
	Data        []string    `json:"data,omitempty"`       // data of each event
	Build       fleet.Build `json:"build,omitzero"`       // of the engines that sent the events; zero if an older process saved them
}

// Checkpoint adds events to the progress of an item. Checkpoints are appended to a file on the disk, whose last writes may be
// torn after a crash.
type Checkpoint struct {
	Job         string   `json:"job"`        // job ID
	Item        string   `json:"item"`       // item ID
	Offset      int      `json:"from"`       // number of events in earlier checkpoints; 0 starts the item over
	LastEventID string   `json:"last_event"` // ID of the last event
	Data        []string `json:"data"`       // data of each event

	Build fleet.Build `json:"build,omitzero"` // of the engines that sent the events; zero if an older process saved them
}

// EncodeCheckpoint returns checkpoint as a line of text that starts with a CRC-32 checksum.
func EncodeCheckpoint(checkpoint Checkpoint) (line []byte, err error) {
	body, err := json.Marshal(checkpoint)
	if err != nil {
		return nil, errors.Annotate(err, "encoding checkpoint")
	}
	line = strconv.AppendUint(nil, uint64(crc32.ChecksumIEEE(body)), 16)
	line = append(append(append(line, ' '), body...), '\n')
	return line, nil
}

// ProgressByJob holds the progress of items, by job ID and item ID.
type ProgressByJob map[string]map[string]Progress

// DecodeCheckpoints returns the progress that the lines written by EncodeCheckpoint add up to. It skips and counts torn lines
// and lines whose predecessor is missing; the affected items resume after an earlier event.
func DecodeCheckpoints(text string) (progress ProgressByJob, skipped int) {
	progress = ProgressByJob{}
	for line := range strings.Lines(text) {
		checkpoint, ok := decodeCheckpoint(strings.TrimSuffix(line, "\n"))
		if !ok || !progress.add(checkpoint) {
			skipped++
		}
	}
	return progress, skipped
}

func decodeCheckpoint(line string) (checkpoint Checkpoint, ok bool) {
	digits, body, _ := strings.Cut(line, " ")
	sum, err := strconv.ParseUint(digits, 16, 32)
	if err != nil || uint32(sum) != crc32.ChecksumIEEE([]byte(body)) {
		return checkpoint, false
	}
	return checkpoint, json.Unmarshal([]byte(body), &checkpoint) == nil
}

// add appends the events of checkpoint to its item. It reports false if the events before them are missing.
func (progress ProgressByJob) add(checkpoint Checkpoint) (ok bool) {
	items := progress[checkpoint.Job]
	if items == nil {
		items = map[string]Progress{}
		progress[checkpoint.Job] = items
	}
	previous := items[checkpoint.Item]
	if checkpoint.Offset == 0 {
		previous = Progress{} // the item started over
	}
	if checkpoint.Offset != len(previous.Data) || checkpoint.Offset > 0 && checkpoint.Build != previous.Build {
		return false
	}
	items[checkpoint.Item] = Progress{LastEventID: checkpoint.LastEventID, Data: append(previous.Data[:checkpoint.Offset:checkpoint.Offset], checkpoint.Data...), Build: checkpoint.Build}
	return true
}
