package caller

import (
	"time"

	"cowslipway/core/state/openaibatch"
)

// The prefixes of the IDs of a batch job's result files. The job's ID follows the prefix.
const (
	OutputFileIDPrefix = "file-output-"
	ErrorFileIDPrefix  = "file-errors-"
)

// File is a file object of the OpenAI API.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"` // Unix seconds
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// NewFile converts an uploaded file to its API form.
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

// List is a list object of the OpenAI API.
type List[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// Counts holds the numbers of items of a batch job.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Batch is a batch object of the OpenAI API. Times are in Unix seconds.
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

// NewBatch converts job to its API form. counts holds the numbers of items that have ended so far; a result file is listed
// only if it has items.
func NewBatch(job openaibatch.Job, counts openaibatch.Counts) Batch {
	batch := Batch{
		ID:               job.ID,
		Object:           "batch",
		Endpoint:         job.Endpoint,
		InputFileID:      job.FileID,
		CompletionWindow: job.CompletionWindow,
		Status:           job.Status,
		CreatedAt:        job.Created.Unix(),
		InProgressAt:     job.Created.Unix(),
		RequestCounts:    Counts{Total: job.Items(), Completed: counts.Completed, Failed: counts.Failed},
		Metadata:         job.Metadata,
	}
	if counts.Completed > 0 {
		batch.OutputFileID = OutputFileIDPrefix + job.ID
	}
	if counts.Failed > 0 {
		batch.ErrorFileID = ErrorFileIDPrefix + job.ID
	}
	batch.CompletedAt = endTime(job, openaibatch.Completed)
	batch.CancelledAt = endTime(job, openaibatch.Cancelled)
	return batch
}

// endTime returns the end of job in Unix seconds if job ended with status, and 0 otherwise.
func endTime(job openaibatch.Job, status openaibatch.Status) int64 {
	if job.Status != status {
		return 0
	}
	return max(job.Ended.Unix(), time.Unix(0, 0).Unix())
}

// CreateBatchRequest is the body of a request that creates a batch job.
type CreateBatchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}
