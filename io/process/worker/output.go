package worker

import (
	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/state/jobrecord"
	"cowslipway/io/transport/upstream"
)

// outputs holds the memory of the outputs of items that have begun and have no result, by job ID and item ID. It is kept between the runs of an
// item.
type outputs map[string]map[string]*upstream.Buffer

// of returns the memory of the output of an item.
func (outputs outputs) of(itemRun jobrunner.ItemRun) *upstream.Buffer {
	items := outputs[itemRun.Job.ID]
	if items == nil {
		items = map[string]*upstream.Buffer{}
		outputs[itemRun.Job.ID] = items
	}
	buffer := items[itemRun.Item.ID]
	if buffer == nil {
		buffer = &upstream.Buffer{}
		items[itemRun.Item.ID] = buffer
	}
	return buffer
}

// settle keeps the memory that an item takes after a run, and gives the rest back.
func (outputs outputs) settle(itemRun jobrunner.ItemRun, progress jobrecord.Progress) {
	if buffer := outputs[itemRun.Job.ID][itemRun.Item.ID]; buffer != nil {
		_ = buffer.Resize(outputBytes(progress)) // it has not grown since the run
	}
	if len(progress.Data) == 0 {
		outputs.release(itemRun)
	}
}

// release gives the memory of an item back.
func (outputs outputs) release(itemRun jobrunner.ItemRun) {
	items := outputs[itemRun.Job.ID]
	if buffer := items[itemRun.Item.ID]; buffer != nil {
		buffer.Release()
		delete(items, itemRun.Item.ID)
	}
	if len(items) == 0 {
		delete(outputs, itemRun.Job.ID)
	}
}

// releaseJob gives the memory of the items of a job back. Those that run keep theirs until their runs end.
func (worker *Worker) releaseJob(id string) {
	running := map[*upstream.Buffer]bool{}
	for run := range worker.running {
		running[run.output] = true
	}
	for _, buffer := range worker.outputs[id] {
		if !running[buffer] {
			buffer.Release()
		}
	}
	delete(worker.outputs, id)
}

// outputBytes returns the size of the output that an item has had.
func outputBytes(progress jobrecord.Progress) (bytes int64) {
	for _, data := range progress.Data {
		bytes += int64(len(data))
	}
	return bytes
}
