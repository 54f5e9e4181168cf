package target

import (
	"context"
	"expvar"
	"io"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/io/protocol/peer"
)

// HandleControl serves the control stream of one entry until it ends. It receives heartbeats and configurations, and sends
// reports and newer configurations.
func (daemon *Daemon) HandleControl(ctx context.Context, handshake peer.Handshake, frames *peer.FrameReader, output io.Writer) {
	stream := &controlStream{
		sendQueue:     make(chan any, sendQueueLength),
		backlog:       map[string]int{},
		reportedLoads: map[string]peer.Load{},
		lastHeartbeat: time.Now(),
	}
	if peer.WriteMessage(output, peer.FrameHandshake, daemon.handshake()) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go writeControlStream(ctx, stream, &countingWriter{writer: output, bytes: &daemon.metrics.controlBytes}, cancel)
	daemon.postEvent(streamOpenedEvent{entryName: handshake.Name, stream: stream})
	defer daemon.postEvent(streamClosedEvent{entryName: handshake.Name, stream: stream})
	for ctx.Err() == nil {
		frame, err := frames.Next()
		if err != nil {
			return
		}
		if err = daemon.handleFrame(handshake.Name, stream, frame); err != nil {
			daemon.HandleProtocolError(err)
			return
		}
	}
}

// handleFrame decodes a frame that an entry sent and passes its message on. The cause of the error is
// peer.ErrMalformedFrame for a frame type that the control stream does not allow.
func (daemon *Daemon) handleFrame(entryName string, stream *controlStream, frame peer.Frame) (err error) {
	switch frame.Type {
	case peer.FrameHeartbeat:
		var heartbeat peer.Heartbeat
		if err = frame.Decode(&heartbeat); err != nil {
			return err
		}
		daemon.postEvent(heartbeatEvent{entryName: entryName, stream: stream, message: heartbeat})
	case peer.FrameConfiguration:
		var message peer.ConfigurationUpdate
		if err = frame.Decode(&message); err != nil {
			return err
		}
		daemon.adoptConfiguration(message)
	default:
		return errors.Annotatef(peer.ErrMalformedFrame, "type %d on the control stream", frame.Type)
	}
	return nil
}

// adoptConfiguration adopts the configuration in message if it is newer than the current one.
func (daemon *Daemon) adoptConfiguration(message peer.ConfigurationUpdate) {
	adopted, err := daemon.configurations.ApplyUpdate(message)
	if err != nil {
		daemon.Log.Warn("peer's configuration rejected", zap.Error(err))
		return
	}
	if !adopted {
		return
	}
	daemon.Log.Info("configuration adopted", zap.Int64("version", message.Version))
	daemon.postEvent(configurationEvent{})
}

// countingWriter counts the bytes that are written to writer.
type countingWriter struct {
	writer io.Writer
	bytes  *expvar.Int
}

// Write writes data to the underlying writer and counts the bytes written.
func (writer *countingWriter) Write(data []byte) (written int, err error) {
	written, err = writer.writer.Write(data)
	writer.bytes.Add(int64(written))
	return written, err
}

// writeControlStream writes the queued messages of stream to output until ctx ends or a write fails, and then calls cancel.
func writeControlStream(ctx context.Context, stream *controlStream, output io.Writer, cancel context.CancelFunc) {
	defer cancel()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case message := <-stream.sendQueue:
			if configuration, ok := message.(peer.ConfigurationUpdate); ok {
				err = peer.WriteMessage(output, peer.FrameConfiguration, configuration)
			} else {
				err = peer.WriteMessage(output, peer.FrameReport, message)
			}
		}
		if err != nil {
			return
		}
	}
}
