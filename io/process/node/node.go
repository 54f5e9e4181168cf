package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

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
	storeTimeout = 1200 * time.Millisecond // of a call; the store takes 4 ms, and 60 times that on a slow day
	followPace   = 400 * time.Millisecond  // configuration has 2 s to be in force, and what one caller read, 1 s
	followWait   = 350 * time.Millisecond  // below the pace, so that a view is never older than 0.8 s while all is well
	dialTimeout  = 250 * time.Millisecond  // to an engine, which takes 1 ms and up to the way through the region
	leasePeriod  = 3 * time.Second         // batch jobs of a lost worker wait that long for the next one
	renewalShare = 0.4                     // of its period until a lease is renewed: one call may fail, and the next by a peer
	// quietLease is that of others: nothing waits for them to be gone, as connections tell sooner, and there are many.
	quietLease = 15 * time.Second
	leaseRetry = 300 * time.Millisecond
)

// Node is a running process.
type Node struct {
	Settings settings.Member
	Role     fleet.Role
	Records  port.Records
	Driver   store.Driver
	Engines  port.Engines
	Log      *zap.Logger
	Preempt  func(preemptions map[uint64]int) // batch items that have to give way, by engine; may be nil

	Store     *store.Store
	Upstream  *upstream.Pool
	self      fleet.Member
	relay     *store.Relay
	mesh      *member.Mesh
	directory directory

	lag     atomic.Int64  // nanoseconds by which the last tick was late
	renewed atomic.Int64  // nanoseconds since 1970 at which the lease was last renewed
	again   chan struct{} // the registration has to be written anew

	placing sync.Mutex // guards the five below
	pool    placement.Pool
	tickets map[int]chan placement.Decision // of requests that wait
	told    []placement.Counts              // what the others heard last
	toldAt  time.Time
	urgedAt time.Time

	leasing sync.Mutex // guards the two below
	lease   int64
	leaving bool
}

// Prepare builds what Run needs; the fields above may be used afterwards.
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
	node.relay = &store.Relay{Direct: node.Driver, OnRelayingChange: node.fallbackChanged, Feed: &store.ChangeFeed{}}
	node.Store = &store.Store{Driver: node.relay, Timeout: storeTimeout, OnAvailabilityChange: node.storeChanged, OnCall: storeCalled}
	node.Upstream = &upstream.Pool{DialTimeout: dialTimeout, Engines: node.Engines}
	node.mesh = &member.Mesh{Self: node.self, Identity: identity, Log: node.Log, Heard: node.heard, Reported: node.reported}
	node.relay.CallPeer, node.mesh.Answer = node.mesh.Ask, node.relay.Serve
	node.pool.Self = node.self.ID()
	node.pool.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	node.tickets = map[int]chan placement.Decision{}
	node.again = make(chan struct{}, 1)
	node.directory.init(node)
	node.measure()
	return nil
}

// Self describes this process to the others.
func (node *Node) Self() fleet.Member { return node.self }

// Run keeps the registration, the views and the exchange with the other members until ctx ends.
func (node *Node) Run(ctx context.Context) (err error) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return node.mesh.Run(ctx) })
	group.Go(func() error {
		node.serveMetrics(ctx)
		return nil
	})
	group.Go(func() error {
		node.register(ctx)
		return nil
	})
	if node.Role == fleet.ReporterRole {
		return group.Wait() // it needs no view of the others
	}
	group.Go(func() error {
		follower := &store.Follower{
			Store:          node.Store,
			Prefixes:       node.Records.Prefixes(memberPrefix),
			Pace:           followPace,
			Wait:           followWait,
			Handle:         node.directory.apply,
			FindReader:     node.reader,
			CallPeer:       node.mesh.AskMember,
			Feed:           node.relay.Feed,
			OnSourceChange: node.sourceChanged,
		}
		follower.Run(ctx)
		return nil
	})
	group.Go(func() error {
		node.tick(ctx)
		return nil
	})
	return group.Wait()
}

func (node *Node) storeChanged(reachable bool) {
	if reachable {
		node.directory.regained()
		node.Log.Info("store regained")
		return
	}
	node.Log.Warn("store lost", zap.Duration("view_age", node.directory.age()))
}

func (node *Node) fallbackChanged(fallback bool) {
	node.Log.Info("store access changed", zap.Bool("via_peers", fallback))
}

// reader returns the member that reads the store for this process; empty where there is none.
func (node *Node) reader() (owner string) {
	return readergroup.For(node.self, node.directory.all())
}

func (node *Node) sourceChanged(peer string, cause error) {
	node.Log.Info("source of news changed", zap.String("peer", peer), telemetry.Err(cause), zap.Duration("view_age", node.directory.age()))
}

// register keeps a lease and the record of this process under it.
func (node *Node) register(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		pause := time.Duration(float64(node.leasePeriod()) * renewalShare)
		var err error
		if written {
			err = node.Store.KeepLease(ctx, node.currentLease())
		} else {
			err = node.writeRegistration(ctx)
		}
		switch {
		case errors.Is(err, store.ErrNoLease):
			node.Log.Warn("lease ended")
			written, pause = false, 0
		case err != nil:
			pause = leaseRetry
		default:
			written = true
			node.renewed.Store(time.Now().UnixNano())
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-node.again:
			written = false
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (node *Node) leasePeriod() time.Duration {
	if node.Role == fleet.WorkerRole {
		return leasePeriod
	}
	return quietLease
}

func (node *Node) currentLease() int64 {
	node.leasing.Lock()
	defer node.leasing.Unlock()
	return node.lease
}

func (node *Node) writeRegistration(ctx context.Context) (err error) {
	lease, err := node.Store.GrantLease(ctx, node.leasePeriod())
	if err != nil {
		return err
	}
	node.leasing.Lock()
	node.lease = lease
	self := node.self
	self.Leaving = node.leaving
	node.leasing.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	write := store.Write{Key: node.Records.OwnKey(memberPrefix + self.Name), Value: value, Lease: lease}
	if _, _, err = node.Store.Commit(ctx, store.Txn{Writes: []store.Write{write}}); err == nil {
		node.Log.Info("registered", zap.String("owner", self.ID()), zap.Int64("lease", lease), zap.Bool("leaving", self.Leaving))
	}
	return err
}

// AnnounceLeaving tells the others that this process is about to stop.
func (node *Node) AnnounceLeaving() {
	node.leasing.Lock()
	node.leaving = true
	node.leasing.Unlock()
	node.registerAgain()
}

// Deregister ends the lease, so that the others need not wait for it to run out.
func (node *Node) Deregister(ctx context.Context) {
	if lease := node.currentLease(); lease != 0 {
		if err := node.Store.EndLease(ctx, lease); err != nil {
			node.Log.Warn("lease could not be ended", telemetry.Err(err))
		}
	}
}

func (node *Node) registerAgain() {
	select {
	case node.again <- struct{}{}:
	default: // it is asked for already
	}
}

// Table returns the routing table in force; nil before the first is known.
func (node *Node) Table() *routes.Table { return node.directory.table.Load() }

// Members returns the live members of a role, sorted by name.
func (node *Node) Members(role fleet.Role) []fleet.Member { return node.directory.membersOf(role) }

// JobView returns what is known of a batch job, and a channel that is closed with the next news.
func (node *Node) JobView(id string) (view jobrecord.View, ok bool, changed <-chan struct{}) {
	return node.directory.view(id)
}

// EachJob calls visit for each known batch job until it returns false; visit must not block.
func (node *Node) EachJob(visit func(id string, view jobrecord.View) bool) {
	node.directory.eachJob(visit)
}

// RetiringVMs returns the names of the VMs that are to be emptied.
func (node *Node) RetiringVMs() []string { return node.directory.retirements() }

// ViewAge tells how old the view of the store may be.
func (node *Node) ViewAge() time.Duration { return node.directory.age() }

// Ready reports whether the process knows enough to serve: the configuration, and which engines there are.
func (node *Node) Ready() bool { return node.Table() != nil && node.directory.listed.Load() }
