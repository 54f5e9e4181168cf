package node

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/store"

	"cowslipway/io/process/telemetry"
)

const (
	memberPrefix = "members/"
	// returnPatience is how long engines whose entries lapsed during an outage have to come back.
	returnPatience = 2 * time.Second
)

// directory is the view of the store's records.
type directory struct {
	node  *Node
	table atomic.Pointer[routes.Table]
	// listed says that engines and members have been listed once; members come after engines.
	listed atomic.Bool

	mutex      sync.Mutex
	engines    map[string]fleet.Engine // by ID
	engineKeys map[string]string       // of their records, by ID
	lapsed     map[string]time.Time    // engines without an entry that may come back until then
	members    map[string]fleet.Member // by name
	retiring   map[string]string       // VMs, with their records' keys
	book       jobrecord.Cache
	asked      time.Time // the view is at least as new
	back       time.Time // when the store was reached again, or first
	changed    chan struct{}
}

func (directory *directory) init(node *Node) {
	directory.node = node
	directory.changed = make(chan struct{})
	directory.retiring = map[string]string{}
	directory.engineKeys = map[string]string{}
	directory.members = map[string]fleet.Member{}
	directory.engines = map[string]fleet.Engine{}
	directory.lapsed = map[string]time.Time{}
}

func (directory *directory) regained() {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.back = time.Now()
}

func (directory *directory) age() time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return time.Since(directory.asked)
}

// apply takes in news from the store.
func (directory *directory) apply(update store.Update) {
	directory.mutex.Lock()
	if update.Reset {
		directory.forget(update.Prefix, update.Items)
	}
	engines, members := update.Reset, update.Reset
	for _, item := range update.Items {
		kind, name := directory.node.Records.Classify(item.Key)
		switch kind {
		case port.ConfigurationRecord:
			directory.applyConfiguration(item)
		case port.EngineRecord:
			directory.applyEngine(name, item)
			engines = true
		case port.RetirementRecord:
			if item.Deleted {
				delete(directory.retiring, name)
			} else {
				directory.retiring[name] = item.Key
			}
		case port.OwnRecord:
			if id, ok := strings.CutPrefix(name, memberPrefix); ok {
				directory.applyMember(id, item)
				members = true
			} else if err := directory.book.Apply(name, item.Value, item.Revision, item.Deleted); err != nil {
				directory.node.Log.Warn("batch record ignored", zap.String("key", item.Key), telemetry.Err(err))
			}
		case port.OtherRecord:
		}
	}
	directory.asked = update.AsOf
	if len(update.Items) > 0 || update.Reset {
		close(directory.changed)
		directory.changed = make(chan struct{})
	}
	directory.mutex.Unlock()
	if engines {
		directory.publishEngines()
	}
	if members {
		directory.publishMembers()
	}
	if update.Reset && update.Prefix == directory.node.Records.OwnKey(memberPrefix) {
		directory.listed.Store(true)
	}
}

// forget drops what is below prefix but not among all the items that exist there.
func (directory *directory) forget(prefix string, items []store.Item) {
	records := directory.node.Records
	exists := map[string]bool{}
	for _, item := range items {
		exists[item.Key] = true
	}
	gone := func(key string) bool { return strings.HasPrefix(key, prefix) && !exists[key] }
	for id, key := range directory.engineKeys {
		if gone(key) {
			directory.lapse(id)
		}
	}
	for name := range directory.members {
		if gone(records.OwnKey(memberPrefix + name)) {
			delete(directory.members, name)
		}
	}
	for name, key := range directory.retiring {
		if gone(key) {
			delete(directory.retiring, name)
		}
	}
	if prefix == records.OwnKey("") {
		directory.book.Clear()
	}
}

func (directory *directory) applyConfiguration(item store.Item) {
	if item.Deleted {
		return // the one in force stays until there is another
	}
	table, err := directory.node.Records.Configuration(item.Value)
	current := directory.table.Load()
	switch {
	case err != nil:
		directory.node.Log.Error("configuration ignored", zap.Int64("revision", item.Revision), telemetry.Err(err))
	case current == nil || table.Version > current.Version:
		directory.table.Store(table)
		directory.node.Log.Info("configuration in force", zap.Int64("version", table.Version), zap.Int64("revision", item.Revision), zap.Int("routes", len(table.Routes)))
	}
}

func (directory *directory) applyEngine(id string, item store.Item) {
	if item.Deleted {
		directory.lapse(id)
		return
	}
	engine, err := directory.node.Records.Engine(id, item.Value)
	if err != nil {
		directory.node.Log.Warn("engine's entry ignored", zap.String("engine", id), telemetry.Err(err))
		delete(directory.engines, id)
		delete(directory.lapsed, id)
		return
	}
	known, ok := directory.engines[id]
	if !ok || known.Draining != engine.Draining || known.StartUnixMilli != engine.StartUnixMilli || known.Address != engine.Address {
		directory.node.Log.Info("engine listed", zap.String("engine", engine.Incarnation()), zap.String("address", engine.Address),
			zap.String("service", engine.Service), zap.Bool("draining", engine.Draining), zap.Int64("revision", item.Revision))
	}
	engine.ListedRevision = item.Revision
	if ok && known.Incarnation() == engine.Incarnation() {
		engine.ListedRevision = known.ListedRevision
	}
	directory.engines[id], directory.engineKeys[id] = engine, item.Key
	delete(directory.lapsed, id)
}

// lapse takes in that an engine has no entry any more. Just after an outage of the store that may only mean that
// it could not renew it.
func (directory *directory) lapse(id string) {
	if _, ok := directory.engines[id]; !ok {
		return
	}
	until := directory.back.Add(returnPatience)
	if time.Now().Before(until) {
		directory.lapsed[id] = until
		directory.node.Log.Info("engine's entry missing after an outage", zap.String("engine", id), zap.Time("used_until", until))
		return
	}
	delete(directory.engines, id)
	delete(directory.engineKeys, id)
	directory.node.Log.Info("engine gone", zap.String("engine", id))
}

// expire drops the engines that did not come back in time.
func (directory *directory) expire(now time.Time) {
	directory.mutex.Lock()
	expired := false
	for id, until := range directory.lapsed {
		if now.After(until) {
			delete(directory.lapsed, id)
			delete(directory.engines, id)
			delete(directory.engineKeys, id)
			directory.node.Log.Info("engine gone", zap.String("engine", id))
			expired = true
		}
	}
	directory.mutex.Unlock()
	if expired {
		directory.publishEngines()
	}
}

func (directory *directory) applyMember(name string, item store.Item) {
	self := directory.node.self
	if item.Deleted {
		delete(directory.members, name)
		return
	}
	var member fleet.Member
	if err := json.Unmarshal(item.Value, &member); err != nil || member.Name != name {
		directory.node.Log.Warn("member's record ignored", zap.String("member", name), telemetry.Err(err))
		return
	}
	if name == self.Name && member.Incarnation != self.Incarnation {
		// A write of this process's former life came late.
		directory.node.registerAgain()
	}
	directory.members[name] = member
}

func (directory *directory) publishEngines() {
	directory.mutex.Lock()
	engines := fleet.NewestByAddress(slices.Collect(maps.Values(directory.engines)))
	directory.mutex.Unlock()
	directory.node.setEngines(engines)
}

func (directory *directory) publishMembers() {
	directory.node.mesh.SetMembers(directory.all())
}

// all returns the live members, this process among them.
func (directory *directory) all() []fleet.Member {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return slices.Collect(maps.Values(directory.members))
}

func (directory *directory) membersOf(role fleet.Role) (members []fleet.Member) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, member := range directory.members {
		if member.Role == role {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b fleet.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

func (directory *directory) view(id string) (view jobrecord.View, ok bool, changed <-chan struct{}) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	view, ok = directory.book.Get(id)
	return view, ok, directory.changed
}

func (directory *directory) eachJob(visit func(id string, view jobrecord.View) bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.book.Range(visit)
}

func (directory *directory) retirements() []string {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return slices.Sorted(maps.Keys(directory.retiring))
}
