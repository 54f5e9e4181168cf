package node

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cowslipway/io/process/telemetry"
)

// ignoredRecords counts the records of the store that can't be used, and logs them at a bounded rate.
type ignoredRecords struct {
	log   *zap.Logger
	limit telemetry.LineLimit
}

// report counts an ignored record of a kind and logs it, unless there were several such lines lately: another writer may write many such
// records, or one of them again and again, and each listing reads all of them.
func (ignored *ignoredRecords) report(level zapcore.Level, kind, message string, err error, fields ...zap.Field) {
	telemetry.IgnoredRecords.Add(kind, 1)
	if omitted, ok := ignored.limit.Allow(time.Now(), kind); ok {
		ignored.log.Log(level, message, append(fields, telemetry.Err(err), zap.Int("omitted", omitted))...)
	}
}
