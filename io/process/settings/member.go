package settings

import (
	"net/netip"
	"time"

	"cowslipway/core/coordination/memorybudget"
	"cowslipway/core/state/config"
)

// Member holds the settings of an ingress, worker or reporter process, which runs on a platform whose store lists the engines
// and the configuration.
type Member struct {
	Name          string `json:"name"`           // of the VM
	Place         string `json:"place"`          // region of the VM
	FailureDomain string `json:"failure_domain"` // of the VM, within the place
	Listen        string `json:"listen"`         // HTTP address for callers; empty for processes without callers
	ReadyListen   string `json:"ready_listen"`   // HTTP address for the load balancer's readiness check; empty for processes without callers
	MetricsListen string `json:"metrics_listen"` // HTTP address for the operators' metrics collector; empty for none
	Engine        string `json:"engine"`         // IP and port of the engine on this VM; empty for none
	PeerListen    string `json:"peer_listen"`    // QUIC address for the other members
	DataDirectory string `json:"data_directory"` // on a disk that may be lost; empty disables checkpoints
	StoreAddress  string `json:"store_address"`  // IP and port of the key-value service
	// MaxRecordBytes is the size of a value that the key-value service takes.
	MaxRecordBytes int64           `json:"max_record_bytes"`
	MemoryMB       float64         `json:"memory_mb"`       // memory limit, beyond which the platform kills the process
	MaxDescriptors int             `json:"max_descriptors"` // limit of open files and sockets; 0 is that of the system
	Callers        Callers         `json:"callers"`
	JobsMemoryMB   float64         `json:"jobs_memory_mb"`      // for the records of batch jobs, which all members hold; 0 derives it from the memory limit
	ResponsesMB    float64         `json:"engine_responses_mb"` // for what is kept of engines' responses while they arrive; 0 derives it from the memory limit
	Cores          float64         `json:"cores"`               // CPU limit
	GracePeriod    config.Duration `json:"grace_period"`        // from SIGTERM to SIGKILL
	LogLevel       string          `json:"log_level"`           // debug, info, warn or error

	// QuotaOvershoot is the share of a route's bound on waiting tokens by which processes that do not know of each other's jobs
	// yet may exceed it.
	QuotaOvershoot float64 `json:"quota_overshoot"`

	// LimitWindow, LimitOvershoot and LimitSlack bound the requests of an account: in any LimitWindow at most (rate x LimitWindow +
	// burst) x (1 + LimitOvershoot) + LimitSlack. A LimitWindow of 0 lifts the limits of all accounts.
	LimitWindow    config.Duration `json:"limit_window"`
	LimitOvershoot float64         `json:"limit_overshoot"`
	LimitSlack     float64         `json:"limit_slack"`

	// RevocationBound is the time after which no request runs for an API key that was withdrawn, on any VM; 0 sets none.
	RevocationBound config.Duration `json:"revocation_bound"`

	// ResultRetention is the time after the submission of a batch job for which its results are kept once it has ended; 0
	// keeps them without limit.
	ResultRetention config.Duration `json:"result_retention"`
}

// JobBytes returns how many bytes of records of batch jobs the process has room for.
func (member Member) JobBytes() int64 {
	memory := member.JobsMemoryMB
	if memory == 0 {
		memory = max(leastJobsMemoryMB, (member.MemoryMB-ownMemoryMB)/4)
	}
	return int64(memory * mebibyte)
}

// PeerCalls returns the memory for calls to the store that the process makes for other members.
func (member Member) PeerCalls() *memorybudget.Pool {
	bytes := int64(max(leastPeerCallsMB, (member.MemoryMB-ownMemoryMB)/8) * mebibyte)
	return &memorybudget.Pool{Bytes: bytes, SmallBytes: smallBytes, LargeBytes: bytes - int64(smallShare*float64(bytes))}
}

// EngineResponses returns the memory for long events of engines, and long outputs of items.
func (member Member) EngineResponses() *memorybudget.Pool {
	memory := member.ResponsesMB
	if memory == 0 {
		memory = max(leastResponsesMB, (member.MemoryMB-ownMemoryMB)/8)
	}
	bytes := int64(memory * mebibyte)
	return &memorybudget.Pool{Bytes: bytes, SmallBytes: smallBytes, LargeBytes: bytes - int64(smallShare*float64(bytes))}
}

// ReadMember reads the settings of a member from a JSON file. The listen addresses for callers and for the load balancer are
// required if servesCallers is set. The error is of type config.FieldErrors.
func ReadMember(file string, servesCallers bool) (member Member, err error) {
	member = Member{LogLevel: "info", MaxRecordBytes: 1 << 20, Callers: DefaultCallers()}
	checker := checker{file: file}
	if checker.read(&member) {
		checker.member(member, servesCallers)
	}
	return member, checker.result()
}

// member checks the settings of a member.
func (checker *checker) member(member Member, servesCallers bool) {
	checker.name("name", member.Name)
	checker.name("place", member.Place)
	checker.name("failure_domain", member.FailureDomain)
	checker.address("listen", member.Listen, !servesCallers)
	checker.address("ready_listen", member.ReadyListen, !servesCallers)
	checker.address("metrics_listen", member.MetricsListen, true)
	checker.address("engine", member.Engine, true)
	checker.address("peer_listen", member.PeerListen, false)
	if address, err := netip.ParseAddrPort(member.PeerListen); err != nil || address.Port() == 0 { // members reach this one there
		checker.add("peer_listen", "invalid address %q: must have the number of a port that other members can reach", member.PeerListen)
	}
	checker.address("store_address", member.StoreAddress, false)
	checker.inRange("max_record_bytes", float64(member.MaxRecordBytes), 16<<10, 64<<20)
	checker.inRange("memory_mb", member.MemoryMB, 32, 1<<20)
	checker.inRange("max_descriptors", float64(member.MaxDescriptors), 0, 1<<20)
	checker.callers(member.Callers)
	if member.JobsMemoryMB != 0 {
		checker.inRange("jobs_memory_mb", member.JobsMemoryMB, leastJobsMemoryMB, 1<<20)
	}
	if member.ResponsesMB != 0 {
		checker.inRange("engine_responses_mb", member.ResponsesMB, leastResponsesMB, 1<<20)
	}
	checker.inRange("cores", member.Cores, 0.01, 1024)
	checker.duration("grace_period", member.GracePeriod, 500*time.Millisecond, time.Hour)
	checker.duration("result_retention", member.ResultRetention, 0, 30*24*time.Hour)
	if member.RevocationBound != 0 { // less than a second can't be kept beside a store that takes 240 ms to answer
		checker.duration("revocation_bound", member.RevocationBound, time.Second, time.Hour)
	}
	checker.inRange("quota_overshoot", member.QuotaOvershoot, 0, 1)
	checker.duration("limit_window", member.LimitWindow, 0, time.Hour)
	checker.inRange("limit_overshoot", member.LimitOvershoot, 0, 10)
	checker.inRange("limit_slack", member.LimitSlack, 0, 1e9)
	if member.LimitWindow == 0 && (member.LimitOvershoot > 0 || member.LimitSlack > 0) {
		checker.add("limit_window", "missing: limit_overshoot and limit_slack hold for a window")
	}
	checker.oneOf("log_level", member.LogLevel, "debug", "info", "warn", "error")
}
