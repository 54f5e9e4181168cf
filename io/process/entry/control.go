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

// event is something that the control goroutine has to know.
type event interface {
	apply(control *control)
}

func (entry *Entry) send(event event) { entry.events <- event }

// control is the state that belongs to the control goroutine.
type control struct {
	entry         *Entry
	ctx           context.Context
	now           time.Time
	daemons       map[string]*targetDaemon // by address
	lastHeartbeat time.Time
	lastTick      time.Time // of the last tick

	batches       batchState
	drainRequests map[string]bool // daemons that operators want drained
}

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

func (control *control) tick() {
	paused := !control.lastTick.IsZero() && control.now.Sub(control.lastTick) > pauseThreshold
	control.lastTick = control.now
	if paused {
		control.reconnect()
	}
	control.entry.lastTick.Store(control.now.UnixNano())
	control.tickBatches(paused)
	if control.now.Sub(control.lastHeartbeat) >= heartbeatInterval {
		control.heartbeat()
	}
}

// reconnect closes every connection after a pause: the daemons have given them up, while packets from before
// that still make them look alive.
func (control *control) reconnect() {
	control.entry.Log.Warn("the process was paused; connections are opened anew")
	for _, link := range control.daemons {
		if opened := link.connections.Swap(nil); opened != nil {
			opened.close("paused")
		}
	}
}

// heartbeat tells every target daemon that this entry lives, what waits here, and what is news.
func (control *control) heartbeat() {
	control.lastHeartbeat = control.now
	suspects, poisoned := control.entry.suspects.takeUnsent()
	if len(poisoned) > 0 {
		go control.entry.storeQuarantined(poisoned)
	}
	cancelled := control.cancelledJobs()
	for _, link := range control.daemons {
		link.trySend(peer.Backlog{
			Version:   control.entry.configurations.Current().Version,
			Services:  control.backlog(link.place),
			Cancelled: cancelled,
			Drain:     control.drainRequests[link.name],
			Suspects:  suspects,
			Poison:    poisoned,
		})
	}
}

// publishFleet makes a new snapshot of the targets that are connected and the entries that live.
func (control *control) publishFleet() {
	published := &fleet{
		services: map[string][]*targetView{},
		daemons:  map[string]*targetDaemon{},
		entries:  slices.Collect(maps.Values(control.batches.liveEntries)),
	}
	for _, link := range control.daemons {
		if !link.connected {
			continue
		}
		published.daemons[link.name] = link
		for _, view := range link.views {
			published.services[view.service] = append(published.services[view.service], view)
		}
	}
	control.entry.fleet.Store(published)
	control.entry.ready.Store(len(published.daemons) > 0 && control.entry.configurations.Current().Version > 0)
}

// vmListEvent is a new reading of the platform's list. The list lags: it says where daemons may be and which
// ones leave, never that one is alive.
type vmListEvent struct {
	vms []etcd.VM
}

func (event vmListEvent) apply(control *control) {
	places := map[string][]string{}
	leaving := map[string]bool{}
	for _, vm := range event.vms {
		if vm.Role != etcd.TargetRole {
			continue
		}
		places[vm.Place] = append(places[vm.Place], vm.Address)
		leaving[vm.Address] = vm.State == etcd.LeavingState
	}
	wanted := map[string]bool{}
	for _, addresses := range places {
		for _, address := range routing.Subset(control.entry.Settings.Name, addresses, control.entry.Settings.SubsetSize) {
			wanted[address] = true
		}
	}
	for address := range wanted {
		control.ensureDaemon(address).retiring.Store(leaving[address])
	}
	for address, link := range control.daemons {
		if !wanted[address] && !link.connected {
			link.stop()
			delete(control.daemons, address)
		}
	}
	control.publishFleet()
}

func (control *control) ensureDaemon(address string) *targetDaemon {
	if link, ok := control.daemons[address]; ok {
		return link
	}
	ctx, stop := context.WithCancel(control.ctx)
	link := &targetDaemon{entry: control.entry, address: address, stop: stop, out: make(chan any, sendQueueSize)}
	control.daemons[address] = link
	go link.run(ctx)
	return link
}

// connectedEvent is a daemon that has said hello.
type connectedEvent struct {
	link  *targetDaemon
	hello peer.Hello
	views map[string]*targetView
}

func (event connectedEvent) apply(control *control) {
	link := event.link
	link.connected, link.name, link.place, link.views = true, event.hello.Name, event.hello.Place, event.views
	control.entry.Log.Info("target daemon is connected", zap.String("daemon", link.name), zap.String("target_place", event.hello.Place))
	control.publishFleet()
	control.heartbeat()
}

// disconnectedEvent is a connection that has ended.
type disconnectedEvent struct {
	link *targetDaemon
	err  error
}

func (event disconnectedEvent) apply(control *control) {
	if !event.link.connected {
		return
	}
	event.link.connected = false
	control.entry.Log.Warn("target daemon is lost", zap.String("daemon", event.link.name), zap.Error(event.err))
	control.publishFleet()
}

// configurationEvent says that a newer configuration was adopted.
type configurationEvent struct{}

func (configurationEvent) apply(control *control) {
	control.publishFleet()
	for _, link := range control.daemons {
		link.sendConfiguration()
	}
	control.heartbeat()
}
