package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/fleet"
	"cowslipway/io/transport/upstream"

	"cowslipway/io/process/node"
)

// sendHeader sends status and header of the response to the caller. A stream keeps those of its first engine.
func (online *onlineRequest) sendHeader(response *http.Response) {
	if online.headerSent {
		return
	}
	online.headerSent = true
	header := online.writer.Header()
	for name, values := range upstream.EndToEnd(response.Header) {
		header[name] = values
	}
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // keeps net/http from adding a field that the engine did not send
		}
	}
	online.writer.WriteHeader(response.StatusCode)
}

// forwardEvents forwards whole events as they arrive. It fails where the order of event IDs shows that the stream repeats
// an event. sent is when the request was sent to engine.
func (online *onlineRequest) forwardEvents(ctx context.Context, engine fleet.Engine, exchange *upstream.Exchange, sent time.Time, watchdog *watchdog) (err error) {
	defer func() { err = errors.Annotate(err, "forwarding a stream") }()
	events := upstream.NewEventReader(exchange.Response.Body)
	events.Buffer.Pool = online.server.Node.Upstream.Memory
	defer events.Close()
	flusher := http.NewResponseController(online.writer)
	received := 0 // in this attempt
	pace := online.server.Node.Pace(engine, online.route.Name)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && received == 0 && online.lastEventID == "" && !exchange.Framed() {
			return errors.New("the connection ended before the first event")
		}
		if errors.Is(err, io.EOF) {
			if err = online.checkEnd(ctx, engine, exchange, received); err == nil {
				online.sendHeader(exchange.Response)
			}
			return err
		}
		if err != nil {
			return err
		}
		if event.ID != "" && !upstream.Follows(online.lastEventID, event.ID) {
			return errors.Errorf("event %q after event %q", event.ID, online.lastEventID)
		}
		if event.ID == "" && event.HasData() && online.lastEventID != "" {
			return errors.Errorf("an event without an ID after event %q", online.lastEventID)
		}
		pace.Received(time.Now())
		if err = watchdog.eventReceived(); err != nil {
			return err
		}
		if online.events == 0 {
			if online.resumable() && online.version == "" { // not sooner: an attempt without an event leaves no record
				online.recorded = online.server.Node.RecordStream(ctx, online.call.RequestID, engine, online.attempts+online.connectFailures, sent, node.StreamWindow(online.route.Timeout))
			}
			online.awaitRecord()
			online.firstEventAt = time.Now()
		}
		online.events++
		if received++; received == soundEvents {
			online.server.Node.RecordSound(engine, online.parts())
		}
		online.sendHeader(exchange.Response)
		if _, err = online.writer.Write(event.Raw); err != nil {
			return err
		}
		if event.ID != "" {
			online.lastEventID = event.ID
		}
		if err = flusher.Flush(); err != nil {
			return err
		}
		pace.Forwarded(time.Now())
	}
}

// forwardBody forwards a response that is not a stream of events.
func (online *onlineRequest) forwardBody(ctx context.Context, engine fleet.Engine, exchange *upstream.Exchange) (err error) {
	defer func() { err = errors.Annotate(err, "forwarding a body") }()
	start, err := io.ReadAll(io.LimitReader(exchange.Response.Body, bufferedBodyBytes))
	if err != nil {
		return err
	}
	whole := len(start) < bufferedBodyBytes
	if whole {
		if err = online.checkEnd(ctx, engine, exchange, 0); err != nil {
			return err
		}
	}
	online.sendHeader(exchange.Response)
	if _, err = online.writer.Write(start); err != nil || whole {
		return err
	}
	if _, err = io.CopyBuffer(online.writer, exchange.Response.Body, make([]byte, copyBufferBytes)); err != nil {
		return err
	}
	return online.checkEnd(ctx, engine, exchange, 0)
}

// checkEnd returns an error if the body of a response, which has been read to its end after so many events, may have ended with its engine.
func (online *onlineRequest) checkEnd(ctx context.Context, engine fleet.Engine, exchange *upstream.Exchange, events int) (err error) {
	if exchange.Framed() {
		return nil
	}
	return online.server.Node.CheckUnframedEnd(ctx, node.EngineRun{Engine: engine, RequestID: online.call.RequestID, Events: events}, exchange)
}
