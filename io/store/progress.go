package store

import (
	"context"
	"io"
	"time"
)

// progressKey is the key of the function in a context that reports progress.
type progressKey struct{}

// withStallLimit returns a context that is canceled when limit has passed without progress, which TrackProgress reports to it
// and to its parents.
func withStallLimit(parent context.Context, limit time.Duration) (ctx context.Context, cancel func()) {
	ctx, cancelContext := context.WithCancel(parent)
	timer := time.AfterFunc(limit, cancelContext)
	reportToParent, _ := parent.Value(progressKey{}).(func())
	ctx = context.WithValue(ctx, progressKey{}, func() {
		if timer.Stop() {
			timer.Reset(limit)
		}
		if reportToParent != nil {
			reportToParent()
		}
	})
	return ctx, func() {
		timer.Stop()
		cancelContext()
	}
}

// TrackProgress returns a reader of a response to a call made with ctx. Each of its reads that returns bytes is progress of the
// call, so that a response which arrives slowly is not given up as one that does not arrive.
func TrackProgress(ctx context.Context, response io.Reader) io.Reader {
	report, ok := ctx.Value(progressKey{}).(func())
	if !ok {
		return response
	}
	return &progressReader{response: response, report: report}
}

// progressReader is a reader that reports each read that returns bytes.
type progressReader struct {
	response io.Reader
	report   func()
}

// Read implements io.Reader.
func (reader *progressReader) Read(buffer []byte) (size int, err error) {
	if size, err = reader.response.Read(buffer); size > 0 {
		reader.report()
	}
	return size, err
}
