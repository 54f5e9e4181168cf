package member

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"cowslipway/core/coordination/memorybudget"
	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
	"cowslipway/io/process/telemetry"
)

const (
	idleTimeout       = time.Second            // a connection without packets for this long is closed, as the peer's load counts are out of date
	keepAliveInterval = 300 * time.Millisecond // about a third of idleTimeout
	handshakeTimeout  = time.Second
	redialDelay       = 500 * time.Millisecond
	// maxFirstDials and maxDials bound the members that are called at once. Those that were called in vain before, of which there may be
	// many, leave room for others.
	maxFirstDials  = 256
	maxDials       = 128
	maxUnreachable = 128 // members that a message names as unreachable; each message draws others
)

// Mesh keeps one connection to every other member, exchanges load counts and serves relayed calls on it.
type Mesh struct {
	Self     fleet.Member
	Identity Identity
	Log      *zap.Logger
	// OnCounts is called with the load counts of a peer, given by its member ID. Nil counts mean that the peer's counts are
	// no longer known.
	OnCounts func(peer string, counts []placement.Counts)
	// ServeCall executes a relayed call for a peer. It may be nil.
	ServeCall func(ctx context.Context, request []byte) (response []byte)
	// CallMemory bounds the memory of the relayed calls that are served at once. It may be nil.
	CallMemory *memorybudget.Pool
	// OnConnect is called, in a goroutine of its own, when a connection to a member that is not a reporter is open. It may be
	// nil.
	OnConnect func(ctx context.Context, memberID string)
	// OnLoadReport is called with the numbers of running and waiting requests at the engine with the given address, as
	// reported by the reporter on its VM.
	OnLoadReport func(engine string, running, waiting int)

	mutex     sync.Mutex
	members   map[string]fleet.Member // the other members, by member ID
	conns     map[string]*quic.Conn   // by member ID
	dialing   map[string]bool         // members to which a connection is being opened, by member ID
	failures  map[string]int          // failed calls of a member in a row, by member ID
	lines     telemetry.LineLimit     // of lines about members that can't be reached, and about counts that are left out
	sequence  uint64                  // number of the latest message sent
	relay     countsRelay
	transport *quic.Transport
	ctx       context.Context
}

// quicConfig returns the settings of all connections of the mesh.
func (mesh *Mesh) quicConfig() *quic.Config {
	return &quic.Config{
		EnableDatagrams:       true,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAliveInterval,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxConcurrentCalls,
		MaxIncomingUniStreams: -1,
	}
}

// Run accepts and opens connections until ctx ends.
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
	listener, err := transport.Listen(mesh.Identity.tlsConfig(mesh.isKnown), mesh.quicConfig())
	if err != nil {
		return err
	}
	mesh.mutex.Lock()
	mesh.transport, mesh.ctx = transport, ctx
	mesh.mutex.Unlock()
	mesh.dialMissing()
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return nil // ctx has ended
		}
		peer, ok := mesh.findPeer(fingerprintOf(conn.ConnectionState().TLS.PeerCertificates[0].Raw), conn.RemoteAddr().String())
		if !ok {
			_ = conn.CloseWithError(0, "unknown")
			continue
		}
		go mesh.serve(peer, conn)
	}
}

// findPeer returns the member whose certificate has the given fingerprint. Where several records have it, the one counts whose address the
// connection comes from, as members dial from the address at which they listen.
func (mesh *Mesh) findPeer(fingerprint, address string) (peer fleet.Member, ok bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, member := range mesh.members {
		if member.Fingerprint == fingerprint && (!ok || member.Address == address) {
			peer, ok = member, true
		}
	}
	if ok {
		return peer, true
	}
	if mesh.Self.Role == fleet.ReporterRole {
		// A reporter does not read the member records, so it accepts every certificate and sends its load reports to every
		// process that connects. Members send no counts to reporters.
		return fleet.Member{Name: fingerprint}, true
	}
	return peer, false
}

// isKnown reports whether a process with the given certificate fingerprint may connect.
func (mesh *Mesh) isKnown(fingerprint string) bool {
	_, ok := mesh.findPeer(fingerprint, "")
	return ok
}

// SetMembers replaces the set of members. It closes the connections to removed members and connects to new ones.
func (mesh *Mesh) SetMembers(members []fleet.Member) {
	mesh.mutex.Lock()
	mesh.members = make(map[string]fleet.Member, len(members))
	for _, member := range members {
		if member.Name != mesh.Self.Name {
			mesh.members[member.ID()] = member
		}
	}
	for memberID, conn := range mesh.conns {
		if _, ok := mesh.members[memberID]; !ok {
			_ = conn.CloseWithError(0, "gone")
		}
	}
	maps.DeleteFunc(mesh.failures, func(memberID string, _ int) bool {
		_, ok := mesh.members[memberID]
		return !ok
	})
	mesh.mutex.Unlock()
	mesh.dialMissing()
}

// isDialer reports whether this process opens the connection to member, rather than member to it. Of two members, the
// one with the smaller name does; reporters never do.
func (mesh *Mesh) isDialer(member fleet.Member) bool {
	return member.Role == fleet.ReporterRole || mesh.Self.Name < member.Name
}

// dialMissing starts to open the missing connections for which this process is the dialer, of which those first that failed least often.
func (mesh *Mesh) dialMissing() {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.transport == nil {
		return
	}
	var missing []string
	for memberID, member := range mesh.members {
		if mesh.conns[memberID] == nil && !mesh.dialing[memberID] && mesh.isDialer(member) {
			missing = append(missing, memberID)
		}
	}
	slices.SortFunc(missing, func(a, b string) int { return cmp.Compare(mesh.failures[a], mesh.failures[b]) })
	if mesh.dialing == nil {
		mesh.dialing = map[string]bool{}
	}
	for _, memberID := range missing {
		limit := maxDials
		if mesh.failures[memberID] == 0 {
			limit = maxFirstDials
		}
		if len(mesh.dialing) >= limit {
			break
		}
		mesh.dialing[memberID] = true
		go mesh.dial(mesh.members[memberID])
	}
}

// dial connects to member and serves the connection until it is closed. Then, or if member cannot be reached, it calls
// dialMissing after redialDelay.
func (mesh *Mesh) dial(member fleet.Member) {
	memberID := member.ID()
	conn, err := mesh.connect(member)
	mesh.mutex.Lock()
	delete(mesh.dialing, memberID)
	if err == nil {
		delete(mesh.failures, memberID)
	} else if _, ok := mesh.members[memberID]; ok {
		if mesh.failures == nil {
			mesh.failures = map[string]int{}
		}
		mesh.failures[memberID]++
	}
	mesh.mutex.Unlock()
	if err == nil {
		mesh.serve(member, conn)
	} else if omitted, ok := mesh.lines.Allow(time.Now(), "member not reached"); ok {
		mesh.Log.Info("member not reached", zap.String("member", memberID), telemetry.Err(err), zap.Int("omitted", omitted))
	}
	select {
	case <-mesh.ctx.Done():
	case <-time.After(redialDelay):
		mesh.dialMissing()
	}
}

// connect opens a connection to member and checks the fingerprint of its certificate.
func (mesh *Mesh) connect(member fleet.Member) (conn *quic.Conn, err error) {
	address, err := net.ResolveUDPAddr("udp4", member.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(mesh.ctx, handshakeTimeout)
	defer cancel()
	isKnown := func(fingerprint string) bool { return fingerprint == member.Fingerprint }
	return mesh.transport.Dial(ctx, address, mesh.Identity.tlsConfig(isKnown), mesh.quicConfig())
}

// serve handles the datagrams and calls of peer until conn is closed.
func (mesh *Mesh) serve(peer fleet.Member, conn *quic.Conn) {
	memberID := peer.ID()
	mesh.mutex.Lock()
	if mesh.conns == nil {
		mesh.conns = map[string]*quic.Conn{}
	}
	mesh.conns[memberID] = conn
	mesh.mutex.Unlock()
	mesh.Log.Info("member connected", zap.String("member", memberID))
	go mesh.serveCalls(conn)
	if mesh.OnConnect != nil && peer.Role != fleet.ReporterRole && mesh.Self.Role != fleet.ReporterRole {
		go mesh.OnConnect(mesh.ctx, memberID)
	}
	newest := uint64(0)
	for {
		data, err := conn.ReceiveDatagram(mesh.ctx)
		if err != nil {
			mesh.disconnected(memberID, conn, err)
			return
		}
		if sequence, running, waiting, ok := DecodeLoadReport(data); ok {
			if sequence > newest && peer.Engine != "" {
				newest = sequence
				mesh.OnLoadReport(peer.Engine, running, waiting)
			}
			continue
		}
		message, err := Decode(data)
		if err != nil {
			mesh.Log.Warn("counts of a member could not be read", zap.String("member", memberID), telemetry.Err(err))
			continue
		}
		if message.Sequence > newest { // datagrams may arrive out of order
			newest = message.Sequence
			mesh.applyMessage(memberID, message)
		}
	}
}

// applyMessage passes the load counts in a peer's message to OnCounts and updates what this process relays.
func (mesh *Mesh) applyMessage(memberID string, message Message) {
	now := time.Now()
	received := map[string][]placement.Counts{memberID: message.Counts}
	mesh.mutex.Lock()
	mesh.relay.setDirect(memberID, message.Counts)
	mesh.relay.setUnreachable(now, message.Unreachable)
	for _, relayed := range message.Relayed {
		if other, ok := mesh.relay.accept(now, mesh.members, relayed); ok {
			received[other] = relayed.Counts
		}
	}
	mesh.mutex.Unlock()
	for peer, counts := range received {
		mesh.OnCounts(peer, counts)
	}
}

// disconnected closes conn and discards the peer's load counts, unless another connection to the peer has replaced conn.
func (mesh *Mesh) disconnected(memberID string, conn *quic.Conn, cause error) {
	_ = conn.CloseWithError(0, "")
	mesh.mutex.Lock()
	current := mesh.conns[memberID] == conn
	if current {
		delete(mesh.conns, memberID)
		mesh.relay.setDirect(memberID, nil)
	}
	mesh.mutex.Unlock()
	if current {
		mesh.OnCounts(memberID, nil)
		mesh.Log.Info("member lost", zap.String("member", memberID), telemetry.Err(cause))
	}
}

// PeerCount returns the number of connected members, without reporters.
func (mesh *Mesh) PeerCount() (count int) { return len(mesh.Connected()) }

// SendCounts sends the load counts of this process to the connected members with the given IDs, or to all of them if
// memberIDs is nil. Reporters are left out.
func (mesh *Mesh) SendCounts(counts []placement.Counts, memberIDs []string) {
	now := time.Now()
	mesh.mutex.Lock()
	sequence, conns := mesh.nextMessage(memberIDs)
	message := Message{Sequence: sequence, Counts: counts}
	for memberID, member := range mesh.members {
		if mesh.conns[memberID] == nil && member.Role != fleet.ReporterRole && len(message.Unreachable) < maxUnreachable {
			message.Unreachable = append(message.Unreachable, digestOf(memberID))
		}
	}
	message.Relayed = mesh.relay.pending(now)
	expired := mesh.relay.removeExpired(now)
	mesh.mutex.Unlock()
	for _, memberID := range expired {
		mesh.OnCounts(memberID, nil)
	}
	data, omitted := message.Encode()
	if omitted > 0 {
		if lines, ok := mesh.lines.Allow(now, "counts left out"); ok {
			mesh.Log.Warn("counts left out of a message", zap.Int("left", omitted), zap.Int("omitted", lines))
		}
	}
	send(conns, data)
}

// SendLoadReport sends the numbers of running and waiting requests at the engine on this VM to all connected members.
func (mesh *Mesh) SendLoadReport(running, waiting int) {
	mesh.mutex.Lock()
	sequence, conns := mesh.nextMessage(nil)
	mesh.mutex.Unlock()
	send(conns, EncodeLoadReport(sequence, running, waiting))
}

// Connected returns the IDs of the connected members, without reporters.
func (mesh *Mesh) Connected() (memberIDs []string) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for memberID := range mesh.conns {
		if mesh.members[memberID].Role != fleet.ReporterRole {
			memberIDs = append(memberIDs, memberID)
		}
	}
	return memberIDs
}

// nextMessage returns the sequence number of the next message and the connections to the given members, or to all
// members if memberIDs is nil. Reporters are left out. The caller holds mesh.mutex.
func (mesh *Mesh) nextMessage(memberIDs []string) (sequence uint64, conns []*quic.Conn) {
	mesh.sequence++
	for memberID, conn := range mesh.conns {
		if mesh.members[memberID].Role != fleet.ReporterRole && (memberIDs == nil || slices.Contains(memberIDs, memberID)) {
			conns = append(conns, conn)
		}
	}
	return mesh.sequence, conns
}

// send sends data as a datagram over each of conns.
func send(conns []*quic.Conn, data []byte) {
	for _, conn := range conns {
		// Errors are ignored: if the connection has failed, serve closes it.
		_ = conn.SendDatagram(data)
	}
}
