package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cowslipway/core/coordination/authentication"
	"cowslipway/core/coordination/placement"
	"cowslipway/core/coordination/readergroup"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/jobrecord"
	"cowslipway/core/state/routes"
	"cowslipway/io/port"
	"cowslipway/io/process/settings"
	"cowslipway/io/protocol/member"
	"cowslipway/io/store"
	"cowslipway/io/transport/upstream"

	"cowslipway/io/process/telemetry"
)

const (
	storeTimeout = 1200 * time.Millisecond // limits a store call, which takes 4 ms, and 60 times that when the store is slow
	// followPace leaves enough time to keep two limits: a configuration is applied everywhere within 2 s, and results that
	// one caller has read are visible to all others within 1 s.
	followPace = 400 * time.Millisecond
	followWait = 350 * time.Millisecond // shorter than followPace, so that no view is older than 0.8 s while all calls succeed
	// dialTimeout is the timeout for connecting to an engine, which takes from 1 ms up to the latency across the region.
	dialTimeout = 250 * time.Millisecond
)

// Node connects a process to the store and to the other members. The fields from Settings to Log must be set before
// Prepare, and Preempt before Run.
type Node struct {
	Settings settings.Member
	Role     fleet.Role
	Records  port.Records
	Driver   store.Driver
	Engines  port.Engines
	Log      *zap.Logger
	// Preempt is called with the number of batch items of this process to preempt, by engine digest. It must not block, and
	// may be nil.
	Preempt func(preemptions map[uint64]int)

	Store     *store.Store
	Upstream  *upstream.Pool
	self      fleet.Member
	relay     *store.Relay
	mesh      *member.Mesh
	directory directory
	// quarantine holds the requests under which engines ended.
	quarantine quarantine
	// accountLimits grants and asks for the requests of accounts.
	accountLimits accountLimits
	// streams holds which builds of the engines began streams that callers may resume.
	streams streams

	watchIncomplete atomic.Bool // the last watch of the store returned a part of the changes

	tickDelay      atomic.Int64  // nanoseconds by which the last tick was late
	leaseRenewedAt atomic.Int64  // Unix nanoseconds of the last renewal
	registrations  atomic.Int64  // times that this process has begun to write its member record
	reregister     chan struct{} // requests that the member record be written again
	recordRevision int64         // revision of the member record in the store as far as keepRegistered knows; 0 if there is none

	placementMutex sync.Mutex // guards the five fields below
	pool           placement.Pool
	tickets        map[int]chan placement.Decision // of queued requests
	sentCounts     []placement.Counts              // the last counts broadcast
	sentAt         time.Time                       // when sentCounts were broadcast
	urgentSentAt   time.Time                       // when counts were last sent ahead of the next broadcast

	leaseMutex   sync.Mutex // guards the three fields below
	lease        int64
	leaving      bool
	registeredAt time.Time // when the store had acknowledged the member record; zero while it is being written
}

// Prepare sets up the node. Store, Upstream and the methods may be used after it.
func (node *Node) Prepare() (err error) {
	identity, err := member.NewIdentity()
	if err != nil {
		return err
	}
	node.self = fleet.Member{
		Name:          node.Settings.Name,
		Incarnation:   uuid.NewString()[:8],
		Role:          node.Role,
		FailureDomain: node.Settings.FailureDomain,
		Address:       node.Settings.PeerListen,
		Fingerprint:   identity.Fingerprint,
		Engine:        node.Settings.Engine,
	}
	if node.Role != fleet.ReporterRole { // which has no view of the batch jobs
		node.self.JobBytes = node.Settings.JobBytes()
	}
	node.relay = &store.Relay{Direct: node.Driver, OnRelayingChange: node.logRelaying, Feed: &store.ChangeFeed{}}
	node.Store = &store.Store{Driver: node.relay, Timeout: storeTimeout, OnAvailabilityChange: node.storeAvailabilityChanged, OnCall: node.countStoreCall}
	node.Upstream = &upstream.Pool{DialTimeout: dialTimeout, Engines: node.Engines, Memory: node.Settings.EngineResponses()}
	telemetry.ResponseBytes.Set(func() float64 {
		bytes, _ := node.Upstream.Memory.Used()
		return float64(bytes)
	})
	node.mesh = &member.Mesh{Self: node.self, Identity: identity, Log: node.Log, OnCounts: node.applyCounts, OnLoadReport: node.applyLoadReport}
	node.mesh.CallMemory = node.Settings.PeerCalls()
	node.relay.CallPeer, node.mesh.ServeCall, node.mesh.OnConnect = node.mesh.CallAny, node.serveCall, node.greet
	node.pool.Self = node.self.ID()
	node.pool.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	node.tickets = map[int]chan placement.Decision{}
	node.reregister = make(chan struct{}, 1)
	node.directory.init(node)
	node.quarantine.init(node)
	node.streams.init(node)
	node.accountLimits.init(node)
	node.setGauges()
	return nil
}

// Self returns the member record of this process.
func (node *Node) Self() fleet.Member { return node.self }

// Run keeps the registration and the views current, and exchanges load counts with the other members, until ctx ends.
func (node *Node) Run(ctx context.Context) (err error) {
	group, ctx := errgroup.WithContext(ctx)
	node.streams.restore()
	group.Go(func() error { return node.mesh.Run(ctx) })
	group.Go(func() error {
		node.serveMetrics(ctx)
		return nil
	})
	group.Go(func() error {
		node.keepRegistered(ctx)
		return nil
	})
	if node.Role == fleet.ReporterRole {
		return group.Wait() // a reporter needs no view of the store
	}
	group.Go(func() error {
		node.FollowStore(ctx)
		return nil
	})
	group.Go(func() error {
		node.quarantine.runSharing(ctx)
		return nil
	})
	group.Go(func() error {
		node.streams.run(ctx)
		return nil
	})
	group.Go(func() error {
		node.streams.files.run(ctx)
		return nil
	})
	group.Go(func() error {
		node.quarantine.runSaving(ctx)
		return nil
	})
	group.Go(func() error {
		node.tick(ctx)
		return nil
	})
	return group.Wait()
}

// FollowStore keeps the view of the store current until ctx ends. Run calls it.
func (node *Node) FollowStore(ctx context.Context) {
	follower := &store.Follower{
		Store:          node.Store,
		Prefixes:       node.Records.Prefixes(quotaPrefix, suspicionPrefix, memberPrefix),
		Pace:           followPace,
		Wait:           followWait,
		Handle:         node.directory.apply,
		FindSource:     node.findSource,
		CallPeer:       node.mesh.CallMember,
		Feed:           node.relay.Feed,
		OnSourceChange: node.logSource,
		OnWatched:      node.recordWatch,
		OnListing:      node.logListing,
		OnListed:       node.logListed,
	}
	follower.Run(ctx)
}

// storeAvailabilityChanged records and logs that the store became reachable or unreachable.
func (node *Node) storeAvailabilityChanged(reachable bool) {
	if reachable {
		node.directory.markStoreReachable()
		node.Log.Info("store regained")
		return
	}
	node.Log.Warn("store lost", zap.Duration("view_age", node.directory.age()))
}

// logRelaying logs whether store calls are made through peers.
func (node *Node) logRelaying(relaying bool) {
	node.Log.Info("store access changed", zap.Bool("via_peers", relaying))
}

// findSource returns the ID of the member through which this process reads the store, or "" if it reads it itself, and whether
// other members read the store through this process.
func (node *Node) findSource(failed func(peer string) bool) (peer string, feeds bool) {
	source := readergroup.SourceFor(node.self, node.directory.allMembers(), failed)
	return source.Peer, source.Feeds
}

// logSource logs that changes of the store now come from peer, or from the store itself if peer is empty.
func (node *Node) logSource(peer string, cause error) {
	node.Log.Info("source of news changed", zap.String("peer", peer), telemetry.Err(cause), zap.Duration("view_age", node.directory.age()))
}

// recordWatch counts a watch of the store, and logs when watches begin or cease to return all changes.
func (node *Node) recordWatch(watched store.Watched) {
	complete := watched.Complete()
	outcome := "complete"
	if !complete {
		outcome = "incomplete"
	}
	telemetry.Watches.Add(outcome, 1)
	if node.watchIncomplete.Swap(!complete) == !complete {
		return
	}
	node.Log.Info("completeness of watches changed", zap.Bool("complete", complete), zap.Int("items", watched.Items), zap.Int64("revision", watched.Revision),
		zap.Int64("store_revision", watched.StoreRevision), zap.Duration("view_age", node.directory.age()))
}

// logListing logs that all records are about to be listed.
func (node *Node) logListing(cause error) {
	node.Log.Info("listing started", telemetry.Err(cause), zap.Duration("view_age", node.directory.age()))
}

// logListed logs the end of a listing of all records.
func (node *Node) logListed(listing store.Listing) {
	node.Log.Info("listing ended", zap.Int("prefixes", listing.Prefixes), zap.Int("items", listing.Items), zap.Int("lost", listing.Lost), zap.Duration("took", listing.Took),
		telemetry.Err(listing.Err), zap.Duration("view_age", node.directory.age()))
}

// Table returns the routing table in force, or nil if no configuration has been read yet.
func (node *Node) Table() *routes.Table { return node.directory.table.Load() }

// Routing returns the routing table in force, nil if no configuration has been read yet, and a revision of the store such that the table was
// the newest at it or later.
func (node *Node) Routing() (table *routes.Table, revision int64) { return node.directory.routing() }

// Accounts returns the client accounts of the configuration, with its routing table.
func (node *Node) Accounts() *authentication.Directory { return node.directory.accounts.Load() }

// ProofAge returns how long ago at most the configuration that is known here was the newest.
func (node *Node) ProofAge() time.Duration { return node.directory.proofAge() }

// Members returns the registered members with the given role, sorted by name.
func (node *Node) Members(role fleet.Role) []fleet.Member { return node.directory.membersOf(role) }

// JobView returns the view of a batch job, and a channel that is closed at the next change of any record of the store.
func (node *Node) JobView(id string) (view JobView, ok bool, changed <-chan struct{}) {
	return node.directory.jobView(id)
}

// JobRoom returns the size of the records of all batch jobs that were accepted before asOf, and of those for which each member has room.
func (node *Node) JobRoom() (bytes, capacity int64, asOf time.Time) { return node.directory.jobRoom() }

// EachJob calls visit for each known batch job until visit returns false. visit must not block.
func (node *Node) EachJob(visit func(id string, view jobrecord.View) bool) {
	node.directory.eachJob(visit)
}

// RetiringVMs returns the names of the VMs that are to be emptied, sorted.
func (node *Node) RetiringVMs() []string { return node.directory.retiringVMs() }

// ViewAge returns the largest possible age of the view of the store, for logs. What a view vouches for depends on the AsOf
// that was read together with it.
func (node *Node) ViewAge() time.Duration { return node.directory.age() }

// Ready reports whether the process can serve: it has read a configuration and has listed engines and members.
func (node *Node) Ready() bool { return node.Table() != nil && node.directory.loaded.Load() }
