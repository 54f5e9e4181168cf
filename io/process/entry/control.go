package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/routing"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/protocol/peer"
)

// event is a message to the control goroutine, which calls apply. So apply may use the fields of control without locks.
type event interface {
	apply(control *control)
}

// send queues event for the control goroutine and blocks while the queue is full.
func (entry *Entry) send(event event) { entry.events <- event }

// control is the state that only the control goroutine uses.
type control struct {
	entry         *Entry
	ctx           context.Context
	now           time.Time                // of the current event or tick
	daemons       map[string]*targetDaemon // by address
	lastHeartbeat time.Time
	lastTick      time.Time

	readiness     readiness
	batches       batchState
	drainRequests map[string]bool // names of the target daemons whose drain operators have requested
}

// runControl applies events and does periodic work until ctx is done.
func (entry *Entry) runControl(ctx context.Context) {
	control := &control{
		entry:         entry,
		ctx:           ctx,
		now:           time.Now(),
		daemons:       map[string]*targetDaemon{},
		batches:       newBatchState(),
		drainRequests: map[string]bool{},
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-entry.events:
			control.now = time.Now()
			event.apply(control)
		case control.now = <-ticker.C:
			control.tick()
		}
	}
}

// tick does the periodic work. If the last tick is longer ago than pauseThreshold, the process was paused. The connections
// are closed before entry.lastTick is stored, since no daemon is usable until then.
func (control *control) tick() {
	paused := !control.lastTick.IsZero() && control.now.Sub(control.lastTick) > pauseThreshold
	control.lastTick = control.now
	if paused {
		control.reconnect()
	}
	control.entry.lastTick.Store(control.now.UnixNano())
	control.updateReadiness()
	control.tickBatches(paused)
	if control.now.Sub(control.lastHeartbeat) >= heartbeatInterval {
		control.heartbeat()
	}
}

// reconnect closes all connections after this process was paused. The daemons have closed them by then, but packets that
// arrived earlier make the connections look usable here.
func (control *control) reconnect() {
	control.entry.Log.Warn("the process was paused; reopening all connections")
	for _, daemon := range control.daemons {
		if conns := daemon.connections.Swap(nil); conns != nil {
			conns.close("paused")
		}
	}
}

// heartbeat sends every connected target daemon the entry's batch backlog, cancelled jobs and drain request, and the
// suspects and quarantined requests that were not sent before. Daemons preempt the batch work of an entry whose
// heartbeats stop.
func (control *control) heartbeat() {
	control.lastHeartbeat = control.now
	suspects, quarantined := control.entry.suspects.takeUnsent()
	cancelled := control.cancelledJobs()
	for _, daemon := range control.daemons {
		daemon.trySend(peer.Heartbeat{
			Version:     control.entry.configurations.Current().Version,
			Services:    control.backlog(daemon.place),
			Cancelled:   cancelled,
			Drain:       control.drainRequests[daemon.name],
			Suspects:    suspects,
			Quarantined: quarantined,
		})
	}
}

// publishFleet replaces the fleet snapshot by one of the connected daemons, their targets and the live entries.
func (control *control) publishFleet() {
	published := &fleet{
		services: map[string][]*targetView{},
		daemons:  map[string]*targetDaemon{},
		entries:  slices.Collect(maps.Values(control.batches.liveEntries)),
	}
	for _, daemon := range control.daemons {
		if !daemon.connected {
			continue
		}
		published.daemons[daemon.name] = daemon
		for _, view := range daemon.views {
			published.services[view.service] = append(published.services[view.service], view)
		}
	}
	control.entry.fleet.Store(published)
	control.updateReadiness()
}

// vmListEvent carries the VMs of the settings and of the platform's list. The list lags behind, so it only says at which
// addresses daemons may run and which VMs are retiring, not that a daemon is running.
type vmListEvent struct {
	vms []etcd.VM
}

func (event vmListEvent) apply(control *control) {
	places := map[string][]string{}
	retiring := map[string]bool{}
	for _, vm := range event.vms {
		if vm.Role != etcd.TargetRole {
			continue
		}
		places[vm.Place] = append(places[vm.Place], vm.Address)
		retiring[vm.Address] = vm.State == etcd.LeavingState
	}
	subset := map[string]bool{}
	for _, addresses := range places {
		for _, address := range routing.Subset(control.entry.Settings.Name, addresses, control.entry.Settings.SubsetSize) {
			subset[address] = true
		}
	}
	for address := range subset {
		control.ensureDaemon(address).retiring.Store(retiring[address])
	}
	for address, daemon := range control.daemons {
		if !subset[address] && !daemon.connected {
			daemon.stop()
			delete(control.daemons, address)
		}
	}
	control.publishFleet()
}

// ensureDaemon returns the daemon at address. It starts connecting to a daemon that is new.
func (control *control) ensureDaemon(address string) *targetDaemon {
	if daemon, ok := control.daemons[address]; ok {
		return daemon
	}
	ctx, stop := context.WithCancel(control.ctx)
	daemon := &targetDaemon{entry: control.entry, address: address, stop: stop, sendQueue: make(chan any, sendQueueLength)}
	control.daemons[address] = daemon
	go daemon.run(ctx)
	return daemon
}

// connectedEvent reports that a daemon is connected and sent its handshake.
type connectedEvent struct {
	daemon    *targetDaemon
	handshake peer.Handshake
	views     map[string]*targetView
}

func (event connectedEvent) apply(control *control) {
	daemon := event.daemon
	daemon.connected, daemon.name, daemon.place, daemon.views = true, event.handshake.Name, event.handshake.Place, event.views
	control.entry.Log.Info("target daemon connected", zap.String("daemon", daemon.name), zap.String("target_place", event.handshake.Place))
	control.publishFleet()
	control.heartbeat()
}

// disconnectedEvent reports that the connection to a daemon ended or could not be opened.
type disconnectedEvent struct {
	daemon *targetDaemon
	err    error
}

func (event disconnectedEvent) apply(control *control) {
	if !event.daemon.connected {
		return
	}
	event.daemon.connected = false
	control.entry.Log.Warn("target daemon disconnected", zap.String("daemon", event.daemon.name), zap.Error(event.err))
	control.publishFleet()
}

// configurationEvent reports that a newer configuration was adopted.
type configurationEvent struct{}

func (configurationEvent) apply(control *control) {
	control.publishFleet()
	for _, daemon := range control.daemons {
		daemon.sendConfiguration()
	}
	control.heartbeat()
}
