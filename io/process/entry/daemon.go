package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/retry"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/peer"
)

const (
	sendQueueLength    = 32 // messages
	baseReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay  = 2 * time.Second
	dialTimeout        = 3 * time.Second
	reportTimeout      = 3 * time.Second // daemons report at least once a second
)

// targetDaemon holds the connections to one target daemon and what the daemon last reported. Method run keeps it connected.
type targetDaemon struct {
	entry       *Entry
	address     string
	stop        context.CancelFunc             // ends run
	sendQueue   chan any                       // messages to send: peer.Heartbeat or peer.ConfigurationUpdate
	retiring    atomic.Bool                    // the platform lists the VM as leaving
	version     atomic.Int64                   // of the configuration that the daemon has
	lastReport  atomic.Int64                   // Unix nanoseconds at which the last report was received
	connections atomic.Pointer[connections]    // nil while disconnected
	handshake   atomic.Pointer[peer.Handshake] // latest one of the daemon, nil before the first
	losses      losses

	// The fields below are used by the control goroutine only.
	name      string
	place     string
	connected bool
	views     map[string]*targetView // by target name
}

// trySend queues message for the daemon. It drops the message if the daemon is not connected or the queue is full, since
// heartbeats are sent periodically and a configuration is sent again after each report that shows an older version. The
// suspects and quarantined requests of a dropped heartbeat are not repeated in the next one.
func (daemon *targetDaemon) trySend(message any) {
	if daemon.connections.Load() == nil {
		return
	}
	select {
	case daemon.sendQueue <- message:
	default:
	}
}

// sendConfiguration sends the current configuration to the daemon if the daemon has an older version.
func (daemon *targetDaemon) sendConfiguration() {
	if message, outdated := daemon.entry.configurations.UpdateSince(daemon.version.Load()); outdated {
		daemon.trySend(message)
	}
}

// run connects to the daemon, and again with a backoff after each disconnect, until ctx is done.
func (daemon *targetDaemon) run(ctx context.Context) {
	random := newRand()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		started := time.Now()
		err := daemon.connect(ctx)
		daemon.connections.Store(nil)
		daemon.countLosses(daemon.losses.unreachable(time.Now()))
		daemon.entry.send(disconnectedEvent{daemon: daemon, err: err})
		if time.Since(started) > maxReconnectDelay {
			attempt = 1
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.Backoff(random, baseReconnectDelay, maxReconnectDelay, attempt)):
		}
	}
	// The daemon is not reached again: the platform no longer lists its VM, or this process ends.
	daemon.countLosses(daemon.losses.reached(time.Now(), ""))
}

// connect opens the connections to the daemon and serves the control stream until one of them ends.
func (daemon *targetDaemon) connect(ctx context.Context) (err error) {
	defer func() { err = errors.Annotatef(err, "connection to target daemon at %s", daemon.address) }()
	conns, err := daemon.dial(ctx)
	if err != nil {
		return err
	}
	defer conns.close("")
	// A blocked read ends only when the connection is closed, so close it when ctx is done.
	defer context.AfterFunc(ctx, func() { conns.close("") })()
	connection := conns.controlConnection()
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	entry := daemon.entry
	handshake := peer.Handshake{
		Name:        entry.Settings.Name,
		Incarnation: entry.incarnation,
		Place:       entry.Settings.Place,
		Domain:      entry.Settings.FailureDomain,
		Version:     entry.configurations.Current().Version,
	}
	if err = peer.WriteMessage(stream, peer.FrameHandshake, handshake); err != nil {
		return err
	}
	frames := peer.NewFrameReader(stream)
	frame, err := frames.Next()
	if err != nil {
		return err
	}
	var response peer.Handshake
	if frame.Type != peer.FrameHandshake {
		return errors.Annotatef(peer.ErrMalformedFrame, "frame type %d, want a handshake", frame.Type)
	}
	if err = frame.Decode(&response); err != nil {
		return err
	}
	views := daemon.activate(conns, response)
	ctx, cancel := context.WithCancel(connection.Context())
	defer cancel()
	conns.closeOnAnyEnd(ctx, cancel)
	go daemon.write(ctx, stream, cancel)
	for {
		if frame, err = frames.Next(); err != nil {
			return err
		}
		if err = daemon.receive(views, frame); err != nil {
			return err
		}
	}
}

// activate makes the daemon usable for requests over conns after its handshake was received. It returns a view of each of
// its targets by target name.
func (daemon *targetDaemon) activate(conns *connections, handshake peer.Handshake) (views map[string]*targetView) {
	conns.incarnation = handshake.Incarnation
	daemon.lastReport.Store(time.Now().UnixNano())
	daemon.connections.Store(conns)
	daemon.countLosses(daemon.losses.reached(time.Now(), conns.incarnation))
	daemon.handshake.Store(&handshake)
	daemon.version.Store(handshake.Version)
	views = map[string]*targetView{}
	for _, target := range handshake.Targets {
		views[target.Name] = &targetView{name: target.Name, service: target.Service, place: handshake.Place, daemon: daemon}
	}
	daemon.entry.send(connectedEvent{daemon: daemon, handshake: handshake, views: views})
	daemon.sendConfiguration()
	return views
}

// receive handles a frame of the control stream.
func (daemon *targetDaemon) receive(views map[string]*targetView, frame peer.Frame) (err error) {
	switch frame.Type {
	case peer.FrameReport:
		var report peer.Report
		if err = frame.Decode(&report); err != nil {
			return err
		}
		daemon.applyReport(views, report)
	case peer.FrameConfiguration:
		var message peer.ConfigurationUpdate
		if err = frame.Decode(&message); err != nil {
			return err
		}
		daemon.entry.adoptConfiguration(message)
	default:
		return errors.Annotatef(peer.ErrMalformedFrame, "unexpected frame type %d on the control stream", frame.Type)
	}
	return nil
}

// usable reports whether the daemon is connected and sent a report within reportTimeout. After this process was paused,
// connections may be dead without having been closed, so no daemon is usable until the control goroutine has closed the
// old connections.
func (daemon *targetDaemon) usable(now time.Time) bool {
	lastReport, lastTick := time.Unix(0, daemon.lastReport.Load()), time.Unix(0, daemon.entry.lastTick.Load())
	return daemon.connections.Load() != nil && now.Sub(lastReport) < reportTimeout && now.Sub(lastTick) < pauseThreshold
}

// applyReport records the loads, grants and suspects of a report and sends the configuration if the daemon's is outdated.
func (daemon *targetDaemon) applyReport(views map[string]*targetView, report peer.Report) {
	daemon.lastReport.Store(time.Now().UnixNano())
	daemon.version.Store(report.Version)
	for _, load := range report.Loads {
		if view, ok := views[load.Target]; ok {
			view.recordLoad(load)
		}
	}
	for _, grant := range report.Grants {
		if view, ok := views[grant.Target]; ok {
			daemon.entry.send(grantEvent{view: view, grant: grant})
		}
	}
	daemon.entry.suspects.merge(report.Suspects, report.Quarantined)
	daemon.sendConfiguration()
}

// write sends the queued messages until ctx is done or a write fails, then calls cancel.
func (daemon *targetDaemon) write(ctx context.Context, stream io.Writer, cancel context.CancelFunc) {
	defer cancel()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case message := <-daemon.sendQueue:
			if configuration, ok := message.(peer.ConfigurationUpdate); ok {
				err = peer.WriteMessage(stream, peer.FrameConfiguration, configuration)
			} else {
				err = peer.WriteMessage(stream, peer.FrameHeartbeat, message)
			}
		}
		if err != nil {
			return
		}
	}
}

// adoptConfiguration adopts the configuration of a message from a daemon if it is newer than the current one.
func (entry *Entry) adoptConfiguration(message peer.ConfigurationUpdate) {
	adopted, err := entry.configurations.ApplyUpdate(message)
	if err != nil {
		entry.Log.Warn("configuration from a peer was rejected", zap.Error(err))
		return
	}
	if adopted {
		entry.configurationAdopted(message.Version)
	}
}

// configurationAdopted logs the adoption of a configuration and notifies the control goroutine.
func (entry *Entry) configurationAdopted(version int64) {
	entry.Log.Info("configuration adopted", zap.Int64("version", version))
	entry.send(configurationEvent{})
}

// discover sends the control goroutine the VMs of the settings and of the platform's list, which it reads every
// vmListInterval. If the list cannot be read, the last one stays in effect.
func (entry *Entry) discover(ctx context.Context) {
	static := make([]etcd.VM, 0, len(entry.Settings.Targets))
	for _, address := range entry.Settings.Targets {
		static = append(static, etcd.VM{Address: address, Role: etcd.TargetRole, State: etcd.LiveState})
	}
	if entry.Settings.Platform.VMList == "" {
		entry.send(vmListEvent{vms: static})
		return
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		vms, err := etcd.ListVMs(ctx, client, entry.Settings.Platform.VMList)
		if err == nil {
			entry.send(vmListEvent{vms: append(vms, static...)})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
