package node

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/coordination/authentication"
	"cowslipway/core/coordination/quota"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/store"
)

const (
	memberPrefix = "members/"
	quotaPrefix  = "quota/" // followed by a hash of a route's name
	// lapseGrace is how long an engine without a record is still used after an outage of the store.
	lapseGrace = 2 * time.Second
	// formerLifetime is how long engines are remembered that are no longer listed: for longer than streams that they began may be taken up.
	formerLifetime = 2 * time.Minute
	// replacedGrace is how long a member is still known whose record was replaced by one that can't be read: if it lives, it writes the
	// record again.
	replacedGrace = workerLeaseTTL
)

// directory holds a view of the store's records.
type directory struct {
	node    *Node
	ignored ignoredRecords
	table   atomic.Pointer[routes.Table]
	// accounts holds the accounts of the table, or of one that is about to come in force.
	accounts atomic.Pointer[authentication.Directory]
	// loaded is set once engines, suspicions and members have been listed; members are listed last.
	loaded atomic.Bool

	publishing sync.Mutex // held while engines or members are passed on, so that no older list replaces a newer one

	mutex          sync.Mutex
	engines        map[string]fleet.Engine // by ID
	engineKeys     map[string]string       // keys of the engines' records, by ID
	former         map[string]formerEngine // engines that are no longer listed, by ID
	lapsed         map[string]time.Time    // end of the grace period of engines without a record, by ID
	refuted        map[string]time.Time    // until when engines make way for others at their address, by incarnation
	members        map[string]fleet.Member // by name
	selfLease      int64                   // lease of the member record of this process; 0 if it is not known
	replaced       map[string]time.Time    // end of the grace period of members whose record can't be read any longer, by name
	retiring       map[string]string       // keys of the records of retiring VMs, by name
	jobs           jobrecord.Cache
	counters       map[string]quota.Counter // of accepted tokens, by the names of their records
	listedCounters map[string]quota.Counter // to replace counters once the jobs have been listed too
	finished       map[string]int64         // tokens of items that were seen to be finished, by route
	listing        bool                     // records are being listed: their changes are not new
	asOf           time.Time                // the view reflects the store at this time or later
	provenAt       time.Time                // the configuration's record was as it is known here at this time or later
	tableRevision  int64                    // the table was the newest at this revision of the store or later; 0 if there is none
	tableUnread    bool                     // the configuration's record was replaced by one that can't be read
	source         string                   // Update.Source of the last update
	revision       int64                    // Update.Revision of the last update
	changedAt      time.Time                // when the last update with changes was applied
	resumed        bool                     // an earlier process of this VM was registered when this one started
	reachableSince time.Time                // when the store last became reachable after an outage
	changed        chan struct{}            // closed at the next change of any record
}

// formerEngine is an engine that is no longer listed.
type formerEngine struct {
	fleet.Engine

	until time.Time // it is remembered
}

// init sets up an empty view.
func (directory *directory) init(node *Node) {
	directory.node, directory.ignored.log = node, node.Log
	directory.accounts.Store(&authentication.Directory{})
	directory.changed = make(chan struct{})
	directory.retiring = map[string]string{}
	directory.engineKeys = map[string]string{}
	directory.members, directory.replaced = map[string]fleet.Member{}, map[string]time.Time{}
	directory.engines, directory.former = map[string]fleet.Engine{}, map[string]formerEngine{}
	directory.lapsed, directory.refuted = map[string]time.Time{}, map[string]time.Time{}
	directory.counters, directory.listedCounters, directory.finished = map[string]quota.Counter{}, map[string]quota.Counter{}, map[string]int64{}
	directory.jobs.OnFinished = directory.countFinished
}

// markStoreReachable records that the store has become reachable after an outage.
func (directory *directory) markStoreReachable() {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.reachableSince = time.Now()
}

// age returns the largest possible age of the view.
func (directory *directory) age() time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return time.Since(directory.asOf)
}

// proofAge returns the largest possible age of the configuration: it was the newest then.
func (directory *directory) proofAge() time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return time.Since(directory.provenAt)
}

// apply updates the view with an update from the store.
func (directory *directory) apply(update store.Update) {
	directory.mutex.Lock()
	directory.listing = update.Reset
	if update.Reset {
		directory.removeMissing(update.Prefix, update.Items)
	}
	enginesChanged, membersChanged := update.Reset, update.Reset
	var builds []fleet.Build // of all engines in the update, also of those that it removes again
	for _, item := range update.Items {
		kind, name := directory.node.Records.Classify(item.Key)
		switch kind {
		case port.ConfigurationRecord:
			directory.applyConfiguration(item)
			if update.ListedAt.After(directory.provenAt) {
				directory.provenAt = update.ListedAt
			}
		case port.EngineRecord:
			directory.applyEngine(name, item)
			if engine, ok := directory.engines[name]; ok {
				builds = append(builds, engine.Build())
			}
			enginesChanged = true
		case port.RetirementRecord:
			if item.Deleted {
				delete(directory.retiring, name)
			} else {
				directory.retiring[name] = item.Key
			}
		case port.OwnRecord:
			if id, ok := strings.CutPrefix(name, memberPrefix); ok {
				directory.applyMember(id, item)
				membersChanged = true
			} else if strings.HasPrefix(name, quotaPrefix) {
				directory.applyCounter(name, item, update)
			} else if strings.HasPrefix(name, suspicionPrefix) {
				if err := directory.node.quarantine.applyRecord(item); err != nil {
					directory.ignored.report(zap.WarnLevel, "suspicion", "suspicion ignored", err, zap.String("key", item.Key))
				}
			} else if err := directory.jobs.Apply(name, item.Value, item.Revision, item.Deleted); err != nil {
				directory.ignored.report(zap.WarnLevel, "batch job", "batch record ignored", err, zap.String("key", item.Key))
			}
		case port.OtherRecord:
		}
	}
	directory.followTable(update)
	directory.asOf, directory.source, directory.revision = update.AsOf, update.Source, update.Revision
	for _, asOf := range []time.Time{update.AsOf, update.UrgentAsOf} {
		if asOf.After(directory.provenAt) {
			directory.provenAt = asOf
		}
	}
	if len(update.Items) > 0 || update.Reset {
		directory.changedAt = time.Now()
		close(directory.changed)
		directory.changed = make(chan struct{})
	}
	directory.mutex.Unlock()
	if enginesChanged {
		directory.node.streams.see(time.Now(), builds)
		directory.publishEngines()
	}
	directory.followEngines(update)
	membersListed := update.Reset && update.Prefix == directory.node.Records.OwnKey(memberPrefix)
	membersAsOf := update.AsOf
	if membersListed && update.ListedAt.After(membersAsOf) {
		membersAsOf = update.ListedAt // other prefixes may be listed for seconds yet
	}
	if membersChanged {
		directory.publishMembers(membersAsOf)
	}
	directory.node.verifyRegistration(membersAsOf)
	directory.node.accountLimits.confirm(membersAsOf)
	if membersListed {
		directory.loaded.Store(true)
	}
}

// followTable records up to which revision of the store an update shows that the routing table is the newest. The mutex must be held.
func (directory *directory) followTable(update store.Update) {
	isConfiguration := func(item store.Item) bool {
		kind, _ := directory.node.Records.Classify(item.Key)
		return kind == port.ConfigurationRecord
	}
	switch {
	case directory.table.Load() == nil || directory.tableUnread:
	case !update.Reset:
		directory.tableRevision = max(directory.tableRevision, update.Revision)
	case slices.ContainsFunc(update.Items, isConfiguration):
		directory.tableRevision = update.Revision // the store may have returned to an older one
	}
}

// routing returns the routing table, nil if there is none, and a revision of the store such that the table was the newest at it or later.
func (directory *directory) routing() (table *routes.Table, revision int64) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.table.Load(), directory.tableRevision
}

// followEngines passes on how new the view of the engines is after an update.
func (directory *directory) followEngines(update store.Update) {
	asOf, listedAt := update.AsOf, time.Time{}
	if update.UrgentAsOf.After(asOf) {
		asOf = update.UrgentAsOf
	}
	if update.Reset && directory.node.isEnginesPrefix(update.Prefix) {
		listedAt = update.ListedAt
	}
	if listedAt.After(asOf) {
		asOf = listedAt
	}
	directory.node.streams.follow(asOf, listedAt)
}

// removeMissing removes the records below prefix whose keys are not among items, which are all that exist there.
func (directory *directory) removeMissing(prefix string, items []store.Item) {
	records := directory.node.Records
	exists := map[string]bool{}
	for _, item := range items {
		exists[item.Key] = true
	}
	removed := func(key string) bool { return strings.HasPrefix(key, prefix) && !exists[key] }
	for id, key := range directory.engineKeys {
		if removed(key) {
			directory.lapse(id)
		}
	}
	for name := range directory.members {
		if removed(records.OwnKey(memberPrefix + name)) {
			delete(directory.members, name)
		}
	}
	for name, key := range directory.retiring {
		if removed(key) {
			delete(directory.retiring, name)
		}
	}
	switch prefix {
	case records.OwnKey(quotaPrefix):
		directory.listedCounters = map[string]quota.Counter{}
	case records.OwnKey(""):
		directory.jobs.Clear()
		directory.counters = directory.listedCounters
	}
}

// applyConfiguration puts a routing table in force if it is newer than the current one.
func (directory *directory) applyConfiguration(item store.Item) {
	if item.Deleted {
		return // the current table stays in force until a newer one is written
	}
	table, err := directory.node.Records.Configuration(item.Value)
	current := directory.table.Load()
	directory.tableUnread = err != nil
	switch {
	case err != nil:
		directory.ignored.report(zap.ErrorLevel, "configuration", "configuration ignored", err, zap.Int64("revision", item.Revision))
	case current == nil || table.Version > current.Version:
		directory.accounts.Store(directory.accounts.Load().With(table))
		directory.table.Store(table)
		directory.node.Log.Info("configuration in force", zap.Int64("version", table.Version), zap.Int64("revision", item.Revision), zap.Int("routes", len(table.Routes)), zap.Int("accounts", len(table.Accounts)))
	}
}

// applyEngine adds, updates or removes an engine. A record that can't be decoded removes the engine at once.
func (directory *directory) applyEngine(id string, item store.Item) {
	if item.Deleted {
		directory.lapse(id)
		return
	}
	engine, err := directory.node.Records.Engine(id, item.Value)
	if err == nil && directory.node.servesAt(engine.Address) {
		err = errors.Errorf("no engine serves at %s: this process or the store does", engine.Address)
	}
	if err != nil {
		directory.ignored.report(zap.WarnLevel, "engine", "engine's entry ignored", err, zap.String("engine", id))
		directory.removeEngine(id)
		delete(directory.lapsed, id)
		return
	}
	known, ok := directory.engines[id]
	if !ok || known.Draining != engine.Draining || known.StartUnixMilli != engine.StartUnixMilli || known.Address != engine.Address || known.SoftwareVersion != engine.SoftwareVersion {
		directory.node.Log.Info("engine listed", zap.String("engine", engine.Incarnation()), zap.String("address", engine.Address),
			zap.String("service", engine.Service), zap.String("software", engine.SoftwareVersion), zap.Bool("draining", engine.Draining), zap.Int64("revision", item.Revision))
	}
	directory.node.quarantine.engineListed(engine)
	engine.ListedRevision = item.Revision
	if ok && known.Incarnation() == engine.Incarnation() {
		engine.ListedRevision = known.ListedRevision
	}
	directory.engines[id], directory.engineKeys[id] = engine, item.Key
	delete(directory.lapsed, id)
}

// servesAt reports whether this process or the store accepts connections at an address. Requests to it would come back, or count as run.
func (node *Node) servesAt(address string) bool {
	own := []string{node.Settings.Listen, node.Settings.ReadyListen, node.Settings.MetricsListen, node.Settings.StoreAddress}
	return slices.Contains(own, address)
}

// engineAt returns the engine that was listed last at an address.
func (directory *directory) engineAt(address string) (listed fleet.Engine, ok bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, engine := range directory.engines {
		if engine.Address == address && (!ok || engine.ListedRevision > listed.ListedRevision) {
			listed, ok = engine, true
		}
	}
	return listed, ok
}

// engineCalled returns the engine that is listed under an ID, or was the last one to be; it is zero if there is none.
func (directory *directory) engineCalled(id string) (engine fleet.Engine) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if engine, ok := directory.engines[id]; ok {
		return engine
	}
	return directory.former[id].Engine
}

// removeEngine removes an engine from the view. The mutex must be held.
func (directory *directory) removeEngine(id string) {
	if engine, ok := directory.engines[id]; ok {
		directory.former[id] = formerEngine{Engine: engine, until: time.Now().Add(formerLifetime)}
	}
	delete(directory.engines, id)
	delete(directory.engineKeys, id)
}

// lapse handles the removal of an engine's record. Shortly after an outage of the store, the engine may merely have been
// unable to renew its record: the engine is then used until lapseGrace after the store became reachable again.
func (directory *directory) lapse(id string) {
	if _, ok := directory.engines[id]; !ok {
		return
	}
	until := directory.reachableSince.Add(lapseGrace)
	if time.Now().Before(until) {
		directory.lapsed[id] = until
		directory.node.Log.Info("engine's entry missing after an outage", zap.String("engine", id), zap.Time("used_until", until))
		return
	}
	directory.removeEngine(id)
	directory.node.Log.Info("engine gone", zap.String("engine", id))
}

// refute records that another engine answers at the address of an engine, which therefore makes way for others listed there until a time.
func (directory *directory) refute(engine fleet.Engine, until time.Time) {
	directory.mutex.Lock()
	_, known := directory.refuted[engine.Incarnation()]
	directory.refuted[engine.Incarnation()] = until
	directory.mutex.Unlock()
	if !known {
		directory.publishEngines()
	}
}

// expireLapsed removes the engines whose grace period has ended, and forgets which ones were refuted once that time has passed.
func (directory *directory) expireLapsed(now time.Time) {
	directory.mutex.Lock()
	expired := false
	maps.DeleteFunc(directory.former, func(_ string, engine formerEngine) bool { return now.After(engine.until) })
	for incarnation, until := range directory.refuted {
		if now.After(until) {
			delete(directory.refuted, incarnation)
			expired = true
		}
	}
	for id, until := range directory.lapsed {
		if now.After(until) {
			delete(directory.lapsed, id)
			directory.removeEngine(id)
			directory.node.Log.Info("engine gone", zap.String("engine", id))
			expired = true
		}
	}
	directory.mutex.Unlock()
	if expired {
		directory.publishEngines()
	}
}

// applyMember adds, updates or removes a member.
func (directory *directory) applyMember(name string, item store.Item) {
	self := directory.node.self
	if item.Deleted {
		delete(directory.members, name)
		delete(directory.replaced, name)
		return
	}
	member, err := fleet.DecodeMember(name, item.Value)
	if err != nil {
		directory.ignored.report(zap.WarnLevel, "member", "member's record ignored", err, zap.String("member", name))
		if name == self.Name {
			directory.node.requestRegistration()
		} else if _, ok := directory.members[name]; ok && directory.replaced[name].IsZero() {
			directory.replaced[name] = time.Now().Add(replacedGrace)
		}
		return
	}
	delete(directory.replaced, name)
	// Of a process that may have written its record twice, the record does not show whether there was one before.
	replaced := directory.node.registrations.Load() <= 1 && item.Created > 0 && item.Created < item.Revision
	if name == self.Name && (member.Incarnation != self.Incarnation || replaced) {
		directory.resumed = true
	}
	if name == self.Name && member.Incarnation != self.Incarnation {
		// A delayed write by an earlier incarnation has replaced the record of this process.
		directory.node.requestRegistration()
	}
	directory.members[name] = member
	if name == self.Name {
		directory.selfLease = item.Lease
	}
}

// ownLease returns the lease of the member record of this process, 0 if it is not known, and whether there is such a record.
func (directory *directory) ownLease() (lease int64, found bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	self := directory.node.self
	if member, ok := directory.members[self.Name]; !ok || member.Incarnation != self.Incarnation {
		return 0, false
	}
	return directory.selfLease, true
}

// expireReplaced removes the members whose record can't be read and that have not written it again in time.
func (directory *directory) expireReplaced(now time.Time) {
	directory.mutex.Lock()
	asOf, expired := directory.asOf, false
	for name, until := range directory.replaced {
		if now.After(until) {
			delete(directory.replaced, name)
			delete(directory.members, name)
			expired = true
		}
	}
	directory.mutex.Unlock()
	if expired {
		directory.publishMembers(asOf)
	}
}

// publishEngines passes the known engines to the placement of work.
func (directory *directory) publishEngines() {
	directory.publishing.Lock()
	defer directory.publishing.Unlock()
	directory.mutex.Lock()
	engines := fleet.NewestByAddress(slices.Collect(maps.Values(directory.engines)), func(engine fleet.Engine) bool {
		_, ok := directory.refuted[engine.Incarnation()]
		return ok
	})
	directory.mutex.Unlock()
	directory.node.setEngines(engines)
}

// publishMembers passes the registered members, as they were at asOf, to the mesh and to the limits of accounts.
func (directory *directory) publishMembers(asOf time.Time) {
	directory.publishing.Lock()
	defer directory.publishing.Unlock()
	members := directory.allMembers()
	directory.node.mesh.SetMembers(members)
	directory.mutex.Lock()
	resumed := directory.resumed
	directory.mutex.Unlock()
	directory.node.accountLimits.setMembers(asOf, members, resumed)
}

// memberID returns the ID of the registered process with a role on a VM, or nothing.
func (directory *directory) memberID(role fleet.Role, name string) (id string) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if member, ok := directory.members[name]; ok && member.Role == role {
		return member.ID()
	}
	return ""
}

// allMembers returns the registered members, including this process.
func (directory *directory) allMembers() []fleet.Member {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return slices.Collect(maps.Values(directory.members))
}

// membersOf returns the registered members with the given role, sorted by name.
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

// JobView is the view of a batch job at one moment.
type JobView struct {
	jobrecord.View

	AsOf time.Time // the view reflects the store at this time or later

	// For logs:
	Source    string    // what the last update was read from
	Revision  int64     // revision of the store up to which changes were received
	ChangedAt time.Time // when the last changes were received
	HeldBack  int       // chunks of results that wait for an earlier one
}

// jobView returns the view of a batch job, and a channel that is closed at the next change of any record.
func (directory *directory) jobView(id string) (view JobView, ok bool, changed <-chan struct{}) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	cached, ok := directory.jobs.Get(id)
	view = JobView{
		View: cached, AsOf: directory.asOf, Source: directory.source, Revision: directory.revision, ChangedAt: directory.changedAt,
		HeldBack: directory.jobs.HeldBack(id),
	}
	return view, ok, directory.changed
}

// eachJob calls visit for each known batch job until visit returns false. visit must not block.
func (directory *directory) eachJob(visit func(id string, view jobrecord.View) bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.jobs.Range(visit)
}

// jobRoom returns the size of the records of all batch jobs that were accepted before asOf, and of those for which each member that holds them
// has room.
func (directory *directory) jobRoom() (bytes, capacity int64, asOf time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	capacity = directory.node.self.JobBytes
	for _, member := range directory.members {
		if member.JobBytes > 0 {
			capacity = min(capacity, member.JobBytes)
		}
	}
	return directory.jobs.Bytes(), capacity, directory.asOf
}

// retiringVMs returns the names of the VMs that are to be emptied, sorted.
func (directory *directory) retiringVMs() []string {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return slices.Sorted(maps.Keys(directory.retiring))
}
