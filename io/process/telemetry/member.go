package telemetry

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cowslipway/core/state/fleet"
	"cowslipway/io/process/settings"
)

const (
	queuedLines = 4096 // lines that wait for a slow reader; about 2 MB
	chunkBytes  = 32 << 10
)

// NewMemberLogger returns a logger of JSON lines to out that never waits for its reader: what does not fit the queue
// is dropped and counted. stop writes what is queued.
func NewMemberLogger(member settings.Member, role fleet.Role, out io.Writer) (log *zap.Logger, stop func(), err error) {
	level, err := zapcore.ParseLevel(member.LogLevel)
	if err != nil {
		return nil, nil, errors.Annotate(err, "reading the log level")
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	lines := &lineQueue{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go lines.write(out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), lines, level)
	count := func(entry zapcore.Entry) error {
		LogLines.Add(entry.Message, 1)
		return nil
	}
	log = zap.New(core, zap.Hooks(count)).With(zap.String("process", string(role)), zap.String("vm", member.Name), zap.String("failure_domain", member.FailureDomain))
	return log, lines.stop, nil
}

// lineQueue hands lines to a writer in the background.
type lineQueue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closed  sync.RWMutex
	ended   bool
}

// Write queues one line, or drops it where the queue is full.
func (queue *lineQueue) Write(line []byte) (n int, err error) {
	queue.closed.RLock()
	defer queue.closed.RUnlock()
	if queue.ended {
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
		// A reader that is gone takes no more lines; the process serves on.
		_, _ = out.Write(chunk)
	}
}

func (queue *lineQueue) stop() {
	queue.closed.Lock()
	if !queue.ended {
		queue.ended = true
		close(queue.lines)
	}
	queue.closed.Unlock()
	<-queue.done
}

func droppedLine(count int64) string {
	return `{"level":"warn","msg":"log lines dropped","count":` + strconv.FormatInt(count, 10) + "}\n"
}

// Err is a log field with the text of err alone: its trace would make the line three times as long.
func Err(err error) zap.Field { return NamedErr("error", err) }

// NamedErr is a log field with the text of err; none where there is no error.
func NamedErr(name string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(name, err.Error())
}
