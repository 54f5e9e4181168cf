package caller

import (
	"time"

	"cowslipway/core/state/openaibatch"
)

// The prefixes of the identifiers of a job's result files.
const (
	OutputFileIDPrefix = "file-output-"
	ErrorFileIDPrefix  = "file-errors-"
)

// File is a file in the shape of the OpenAI interface.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// NewFile returns an uploaded file as callers see it.
func NewFile(file openaibatch.File) File {
	return File{
		ID:        file.ID,
		Object:    "file",
		Bytes:     file.Bytes,
		CreatedAt: file.Created.Unix(),
		Filename:  file.Name,
		Purpose:   "batch",
		Status:    "processed",
	}
}

// List is a list in the shape of the OpenAI interface.
type List[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// Counts are the items of a batch job.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Batch is a batch job in the shape of the OpenAI interface.
type Batch struct {
	ID               string             `json:"id"`
	Object           string             `json:"object"`
	Endpoint         string             `json:"endpoint"`
	InputFileID      string             `json:"input_file_id"`
	CompletionWindow string             `json:"completion_window"`
	Status           openaibatch.Status `json:"status"`
	OutputFileID     string             `json:"output_file_id,omitempty"`
	ErrorFileID      string             `json:"error_file_id,omitempty"`
	CreatedAt        int64              `json:"created_at"`
	InProgressAt     int64              `json:"in_progress_at,omitempty"`
	CompletedAt      int64              `json:"completed_at,omitempty"`
	CancelledAt      int64              `json:"cancelled_at,omitempty"`
	RequestCounts    Counts             `json:"request_counts"`
	Metadata         map[string]string  `json:"metadata"`
}

// NewBatch returns a job as callers see it, with the counts known now.
func NewBatch(record openaibatch.Job, counts openaibatch.Counts) Batch {
	batch := Batch{
		ID:               record.ID,
		Object:           "batch",
		Endpoint:         record.Endpoint,
		InputFileID:      record.FileID,
		CompletionWindow: record.CompletionWindow,
		Status:           record.Status,
		CreatedAt:        record.Created.Unix(),
		InProgressAt:     record.Created.Unix(),
		RequestCounts:    Counts{Total: record.Items(), Completed: counts.Completed, Failed: counts.Failed},
		Metadata:         record.Metadata,
	}
	if counts.Completed > 0 {
		batch.OutputFileID = OutputFileIDPrefix + record.ID
	}
	if counts.Failed > 0 {
		batch.ErrorFileID = ErrorFileIDPrefix + record.ID
	}
	batch.CompletedAt = endedAt(record, openaibatch.Completed)
	batch.CancelledAt = endedAt(record, openaibatch.Cancelled)
	return batch
}

func endedAt(record openaibatch.Job, status openaibatch.Status) int64 {
	if record.Status != status {
		return 0
	}
	return max(record.Ended.Unix(), time.Unix(0, 0).Unix())
}

// CreateBatchRequest is the body of a request for a new job.
type CreateBatchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}
