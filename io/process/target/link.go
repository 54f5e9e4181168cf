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

// Control serves the control stream of one entry: its heartbeats in, reports and configuration out.
func (daemon *Daemon) Control(ctx context.Context, hello peer.Hello, frames *peer.FrameReader, stream io.Writer) {
	link := &link{
		out:      make(chan any, linkBacklog),
		backlog:  map[string]int{},
		reported: map[string]peer.Load{},
		heard:    time.Now(),
	}
	if peer.WriteMessage(stream, peer.FrameHello, daemon.hello()) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go writeLink(ctx, link, &countingWriter{writer: stream, count: &daemon.metrics.control}, cancel)
	daemon.send(helloEvent{entry: hello.Name, link: link})
	defer daemon.send(byeEvent{entry: hello.Name, link: link})
	for ctx.Err() == nil {
		frame, err := frames.Next()
		if err != nil {
			return
		}
		if err = daemon.receive(hello.Name, link, frame); err != nil {
			daemon.Malformed(err)
			return
		}
	}
}

func (daemon *Daemon) receive(entry string, link *link, frame peer.Frame) (err error) {
	switch frame.Type {
	case peer.FrameBacklog:
		var backlog peer.Backlog
		if err = frame.Decode(&backlog); err != nil {
			return err
		}
		daemon.send(backlogEvent{entry: entry, link: link, message: backlog})
	case peer.FrameConfiguration:
		var message peer.Configuration
		if err = frame.Decode(&message); err != nil {
			return err
		}
		daemon.takeConfiguration(message)
	default:
		return errors.Annotatef(peer.ErrFrame, "type %d on the control stream", frame.Type)
	}
	return nil
}

func (daemon *Daemon) takeConfiguration(message peer.Configuration) {
	adopted, err := daemon.configurations.Take(message)
	if err != nil {
		daemon.Log.Warn("configuration from a peer was not taken", zap.Error(err))
		return
	}
	if !adopted {
		return
	}
	daemon.Log.Info("configuration is in force", zap.Int64("version", message.Version))
	daemon.send(configurationEvent{})
}

// countingWriter counts the bytes that pass through it.
type countingWriter struct {
	writer io.Writer
	count  *expvar.Int
}

// Write passes data on.
func (countingWriter *countingWriter) Write(data []byte) (written int, err error) {
	written, err = countingWriter.writer.Write(data)
	countingWriter.count.Add(int64(written))
	return written, err
}

func writeLink(ctx context.Context, link *link, stream io.Writer, cancel context.CancelFunc) {
	defer cancel()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case message := <-link.out:
			if configuration, ok := message.(peer.Configuration); ok {
				err = peer.WriteMessage(stream, peer.FrameConfiguration, configuration)
			} else {
				err = peer.WriteMessage(stream, peer.FrameReport, message)
			}
		}
		if err != nil {
			return
		}
	}
}
