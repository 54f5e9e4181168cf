package telemetry

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cowslipway/core/state/fleet"
	"cowslipway/io/process/settings"
)

const (
	maxQueuedLines = 4096     // about 2 MB
	maxErrorBytes  = 1 << 10  // of the text of an error, which may quote what another program wrote
	chunkBytes     = 32 << 10 // size at which a chunk is written without adding more lines
)

// NewMemberLogger returns a logger that writes JSON lines to out and never waits for the reader of out: lines that do not fit
// into the queue are dropped and counted. stop writes the queued lines.
func NewMemberLogger(member settings.Member, role fleet.Role, out io.Writer) (log *zap.Logger, stop func(), err error) {
	level, err := zapcore.ParseLevel(member.LogLevel)
	if err != nil {
		return nil, nil, errors.Annotate(err, "parsing the log level")
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	queue := &lineQueue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go queue.write(out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), queue, level)
	countLine := func(entry zapcore.Entry) error {
		LogLines.Add(entry.Message, 1)
		return nil
	}
	log = zap.New(core, zap.Hooks(countLine)).With(zap.String("process", string(role)), zap.String("vm", member.Name), zap.String("failure_domain", member.FailureDomain))
	return log, queue.stop, nil
}

// lineQueue is a zapcore.WriteSyncer that queues lines for a writer in the background.
type lineQueue struct {
	lines   chan []byte
	dropped atomic.Int64  // lines dropped since the last chunk was written
	done    chan struct{} // closed when the last line is written
	mutex   sync.RWMutex  // guards stopped and the closing of lines
	stopped bool
}

// Write queues one line, or drops it if the queue is full or stopped.
func (queue *lineQueue) Write(line []byte) (n int, err error) {
	queue.mutex.RLock()
	defer queue.mutex.RUnlock()
	if queue.stopped {
		return len(line), nil
	}
	select {
	case queue.lines <- append([]byte(nil), line...):
	default:
		queue.dropped.Add(1)
		DroppedLogLines.Add("queue full", 1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written in the background.
func (queue *lineQueue) Sync() error { return nil }

// write writes the queued lines to out, several at once if more are queued.
func (queue *lineQueue) write(out io.Writer) {
	defer close(queue.done)
	var chunk []byte
	for line := range queue.lines {
		chunk = append(chunk[:0], line...)
		for len(chunk) < chunkBytes && len(queue.lines) > 0 {
			chunk = append(chunk, <-queue.lines...)
		}
		if dropped := queue.dropped.Swap(0); dropped > 0 {
			chunk = append(chunk, droppedLine(dropped)...)
		}
		// The process keeps running if the reader of its log has exited.
		_, _ = out.Write(chunk)
	}
}

// stop ends the queue and waits until all queued lines are written.
func (queue *lineQueue) stop() {
	queue.mutex.Lock()
	if !queue.stopped {
		queue.stopped = true
		close(queue.lines)
	}
	queue.mutex.Unlock()
	<-queue.done
}

// droppedLine returns the log line that reports count dropped lines.
func droppedLine(count int64) string {
	return `{"level":"warn","msg":"log lines dropped","count":` + strconv.FormatInt(count, 10) + "}\n"
}

// Err returns a log field with the text of err only: its stack trace would make the line three times as long.
func Err(err error) zap.Field { return NamedErr("error", err) }

// NamedErr returns a log field with the text of err under the given name, or no field if err is nil.
func NamedErr(name string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "") + " (cut off)"
	}
	return zap.String(name, text)
}
