package member

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"

	"cowslipway/io/process/telemetry"
)

const (
	idleTimeout      = time.Second            // a silent peer's counts are worthless after that
	keepAlive        = 300 * time.Millisecond // a third of the above
	handshakeTimeout = time.Second
	redialPause      = 500 * time.Millisecond
)

// Mesh keeps a connection to each other member and exchanges counts over it.
type Mesh struct {
	Self         fleet.Member
	Identity     Identity
	Log          *zap.Logger
	OnCounts     func(peer string, counts []placement.Counts)               // nil counts: the peer is lost
	ServeCall    func(ctx context.Context, question []byte) (answer []byte) // makes a store call in a peer's place; may be nil
	OnLoadReport func(engine string, running, waiting int)                  // of the engine at an address, by the reporter beside it

	mutex    sync.Mutex
	members  map[string]fleet.Member // by owner name
	links    map[string]*quic.Conn
	dialing  map[string]bool
	sequence uint64
	indirect indirect
	socket   *quic.Transport
	ctx      context.Context
}

func (mesh *Mesh) settings() *quic.Config {
	return &quic.Config{
		EnableDatagrams:       true,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxCalls,
		MaxIncomingUniStreams: -1,
	}
}

// Run listens until ctx ends.
func (mesh *Mesh) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotatef(err, "listening for members on %s", mesh.Self.Address) }()
	address, err := net.ResolveUDPAddr("udp4", mesh.Self.Address)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: socket}
	defer func() { _ = transport.Close() }()
	listener, err := transport.Listen(mesh.Identity.config(mesh.known), mesh.settings())
	if err != nil {
		return err
	}
	mesh.mutex.Lock()
	mesh.socket, mesh.ctx = transport, ctx
	mesh.mutex.Unlock()
	mesh.dialMissing()
	for {
		link, err := listener.Accept(ctx)
		if err != nil {
			return nil // ctx has ended
		}
		peer, ok := mesh.peer(fingerprint(link.ConnectionState().TLS.PeerCertificates[0].Raw))
		if !ok {
			_ = link.CloseWithError(0, "unknown")
			continue
		}
		go mesh.serve(peer, link)
	}
}

func (mesh *Mesh) peer(fingerprint string) (peer fleet.Member, ok bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, member := range mesh.members {
		if member.Fingerprint == fingerprint {
			return member, true
		}
	}
	if mesh.Self.Role == fleet.ReporterRole {
		// A reporter does not read the store: it tells all who ask, and takes in nothing.
		return fleet.Member{Name: fingerprint}, true
	}
	return peer, false
}

func (mesh *Mesh) known(fingerprint string) bool {
	_, ok := mesh.peer(fingerprint)
	return ok
}

// SetMembers replaces the members that connections are kept to.
func (mesh *Mesh) SetMembers(members []fleet.Member) {
	mesh.mutex.Lock()
	mesh.members = make(map[string]fleet.Member, len(members))
	for _, member := range members {
		if member.Name != mesh.Self.Name {
			mesh.members[member.ID()] = member
		}
	}
	for owner, link := range mesh.links {
		if _, ok := mesh.members[owner]; !ok {
			_ = link.CloseWithError(0, "gone")
		}
	}
	mesh.mutex.Unlock()
	mesh.dialMissing()
}

// dials reports whether this process is the one to connect to member: of two, the one with the smaller name, but
// for reporters, who are always connected to.
func (mesh *Mesh) dials(member fleet.Member) bool {
	return member.Role == fleet.ReporterRole || mesh.Self.Name < member.Name
}

// dialMissing connects to the members that this one has to dial.
func (mesh *Mesh) dialMissing() {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.socket == nil {
		return
	}
	for owner, member := range mesh.members {
		if mesh.links[owner] != nil || mesh.dialing[owner] || !mesh.dials(member) {
			continue
		}
		if mesh.dialing == nil {
			mesh.dialing = map[string]bool{}
		}
		mesh.dialing[owner] = true
		go mesh.dial(member)
	}
}

func (mesh *Mesh) dial(member fleet.Member) {
	link, err := mesh.connect(member)
	mesh.mutex.Lock()
	delete(mesh.dialing, member.ID())
	mesh.mutex.Unlock()
	if err == nil {
		mesh.serve(member, link)
	} else {
		mesh.Log.Info("member not reached", zap.String("member", member.ID()), telemetry.Err(err))
	}
	select {
	case <-mesh.ctx.Done():
	case <-time.After(redialPause):
		mesh.dialMissing()
	}
}

func (mesh *Mesh) connect(member fleet.Member) (link *quic.Conn, err error) {
	address, err := net.ResolveUDPAddr("udp4", member.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(mesh.ctx, handshakeTimeout)
	defer cancel()
	known := func(fingerprint string) bool { return fingerprint == member.Fingerprint }
	return mesh.socket.Dial(ctx, address, mesh.Identity.config(known), mesh.settings())
}

// serve takes in a peer's counts until its connection ends.
func (mesh *Mesh) serve(peer fleet.Member, link *quic.Conn) {
	owner := peer.ID()
	mesh.mutex.Lock()
	if mesh.links == nil {
		mesh.links = map[string]*quic.Conn{}
	}
	mesh.links[owner] = link
	mesh.mutex.Unlock()
	mesh.Log.Info("member connected", zap.String("member", owner))
	go mesh.answerCalls(link)
	newest := uint64(0)
	for {
		message, err := link.ReceiveDatagram(mesh.ctx)
		if err != nil {
			mesh.lost(owner, link, err)
			return
		}
		if sequence, running, waiting, ok := DecodeLoadReport(message); ok {
			if sequence > newest && peer.Engine != "" {
				newest = sequence
				mesh.OnLoadReport(peer.Engine, running, waiting)
			}
			continue
		}
		decoded, err := Decode(message)
		if err != nil {
			mesh.Log.Warn("counts of a member could not be read", zap.String("member", owner), telemetry.Err(err))
			continue
		}
		if decoded.Sequence > newest { // an older datagram may arrive late
			newest = decoded.Sequence
			mesh.take(owner, decoded)
		}
	}
}

// take takes in a peer's message.
func (mesh *Mesh) take(owner string, message Message) {
	now := time.Now()
	heard := map[string][]placement.Counts{owner: message.Counts}
	mesh.mutex.Lock()
	mesh.indirect.heard(owner, message.Counts)
	mesh.indirect.missed(now, message.Unreachable)
	for _, relayed := range message.Relayed {
		if other, ok := mesh.indirect.take(now, mesh.members, relayed); ok {
			heard[other] = relayed.Counts
		}
	}
	mesh.mutex.Unlock()
	for peer, counts := range heard {
		mesh.OnCounts(peer, counts)
	}
}

func (mesh *Mesh) lost(owner string, link *quic.Conn, cause error) {
	_ = link.CloseWithError(0, "")
	mesh.mutex.Lock()
	current := mesh.links[owner] == link
	if current {
		delete(mesh.links, owner)
		mesh.indirect.heard(owner, nil)
	}
	mesh.mutex.Unlock()
	if current {
		mesh.OnCounts(owner, nil)
		mesh.Log.Info("member lost", zap.String("member", owner), telemetry.Err(cause))
	}
}

// PeerCount returns the number of the members that counts are exchanged with.
func (mesh *Mesh) PeerCount() (size int) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, member := range mesh.members {
		if member.Role != fleet.ReporterRole {
			size++
		}
	}
	return size
}

// SendCounts sends counts to the named members that are connected; nil names all of them.
func (mesh *Mesh) SendCounts(counts []placement.Counts, owners []string) {
	now := time.Now()
	mesh.mutex.Lock()
	sequence, links := mesh.next(owners)
	message := Message{Sequence: sequence, Counts: counts}
	for owner, member := range mesh.members {
		if mesh.links[owner] == nil && member.Role != fleet.ReporterRole {
			message.Unreachable = append(message.Unreachable, digestOf(owner))
		}
	}
	message.Relayed = mesh.indirect.relayed(now)
	expired := mesh.indirect.expired(now)
	mesh.mutex.Unlock()
	for _, owner := range expired {
		mesh.OnCounts(owner, nil)
	}
	data, left := message.Encode()
	if left > 0 {
		mesh.Log.Warn("counts left out of a message", zap.Int("left", left))
	}
	send(links, data)
}

// SendLoadReport sends what runs and waits at the engine on this VM to all members that are connected.
func (mesh *Mesh) SendLoadReport(running, waiting int) {
	mesh.mutex.Lock()
	sequence, links := mesh.next(nil)
	mesh.mutex.Unlock()
	send(links, EncodeLoadReport(sequence, running, waiting))
}

// next returns the number of the next message, and the connections of the named members, or of all: reporters need none. The
// mutex is held.
func (mesh *Mesh) next(owners []string) (sequence uint64, links []*quic.Conn) {
	mesh.sequence++
	for owner, link := range mesh.links {
		if mesh.members[owner].Role != fleet.ReporterRole && (owners == nil || slices.Contains(owners, owner)) {
			links = append(links, link)
		}
	}
	return mesh.sequence, links
}

func send(links []*quic.Conn, message []byte) {
	for _, link := range links {
		// A connection that fails is noticed by its reader.
		_ = link.SendDatagram(message)
	}
}
