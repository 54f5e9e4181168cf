package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"time"

	"cowslipway/core/state/config"
	"cowslipway/io/transport/quic"
)

// Platform says where the platform's services are.
type Platform struct {
	Store          string  `json:"store"`            // base URL of the key-value service; empty for none
	VMList         string  `json:"vm_list"`          // URL of the list of VMs; empty for none
	CallsPerSecond float64 `json:"calls_per_second"` // to the store, of this process
}

// Trace says where spans go.
type Trace struct {
	Exporter string  `json:"exporter"` // none, stdout or otlp
	Endpoint string  `json:"endpoint"` // URL, for otlp
	Ratio    float64 `json:"ratio"`    // of requests that are traced
}

// Log says what is logged.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
}

// Drain bounds a graceful stop.
type Drain struct {
	BalancerWait config.Duration `json:"balancer_wait"` // while an entry fails its health page and still accepts
	Limit        config.Duration `json:"limit"`         // after which what still runs is cut
}

// Process is what entry and target have in common.
type Process struct {
	Name          string        `json:"name"`
	Place         string        `json:"place"`
	FailureDomain string        `json:"failure_domain"`
	TLS           quic.KeyFiles `json:"tls"`
	Platform      Platform      `json:"platform"`
	Trace         Trace         `json:"trace"`
	Log           Log           `json:"log"`
	Drain         Drain         `json:"drain"`
}

// Entry is the settings of an entry process.
type Entry struct {
	Process

	Listen         string          `json:"listen"`  // HTTP, for callers and operators
	Targets        []string        `json:"targets"` // UDP addresses of target daemons known without the platform's list
	SubsetSize     int             `json:"subset_size"`
	DefaultTimeout config.Duration `json:"default_timeout"`
	MaxBodyBytes   int64           `json:"max_body_bytes"`
	MaxAttempts    int             `json:"max_attempts"`
	RetryShare     float64         `json:"retry_share"` // of first attempts
	MaxAccounts    int             `json:"max_accounts"`
	OperatorKeys   []string        `json:"operator_keys_sha256"` // may operate before a first configuration is in force
	EntryCount     int             `json:"entry_count"`          // that share an account's limits while the store is not reached
}

// EngineTarget is one engine or plain service behind a target daemon.
type EngineTarget struct {
	Name         string             `json:"name"`
	Service      string             `json:"service"`
	Type         config.ServiceType `json:"type"`
	Address      string             `json:"address"` // base URL
	MinSlots     int                `json:"min_slots"`
	StartSlots   int                `json:"start_slots"`
	MaxSlots     int                `json:"max_slots"`
	BatchPrefill float64            `json:"batch_prefill"` // tokens of prompts a second that batch work may bring beside online work
	MaxSlowdown  float64            `json:"max_slowdown"`  // of online token gaps through batch work; 0 sets no bound
	ChecksFence  bool               `json:"checks_fence"`  // the engine refuses orders with an old fencing token
}

// Target is the settings of a target daemon.
type Target struct {
	Process

	Listen        string          `json:"listen"`       // UDP, for entries
	DebugListen   string          `json:"debug_listen"` // HTTP, for metrics and health; empty for none
	Targets       []EngineTarget  `json:"targets"`
	ReportPeriod  config.Duration `json:"report_period"`
	MaxQueued     int             `json:"max_queued"`
	MaxPerAccount int             `json:"max_per_account"`
}

func defaultProcess() Process {
	return Process{
		Platform: Platform{CallsPerSecond: 50},
		Trace:    Trace{Exporter: "none", Ratio: 0.01},
		Log:      Log{Level: "info"},
		Drain:    Drain{BalancerWait: config.Duration(2 * time.Second), Limit: config.Duration(30 * time.Second)},
	}
}

// DefaultEntry returns the values of what an entry's settings leave out.
func DefaultEntry() Entry {
	return Entry{
		Process:        defaultProcess(),
		SubsetSize:     64,
		DefaultTimeout: config.Duration(60 * time.Second),
		MaxBodyBytes:   4 << 20,
		MaxAttempts:    3,
		RetryShare:     0.1,
		MaxAccounts:    20000,
		EntryCount:     1,
	}
}

// DefaultTarget returns the values of what a target daemon's settings leave out.
func DefaultTarget() Target {
	return Target{
		Process:       defaultProcess(),
		ReportPeriod:  config.Duration(250 * time.Millisecond),
		MaxQueued:     4096,
		MaxPerAccount: 256,
	}
}

// DefaultEngineTarget returns the values of what an engine target's settings leave out.
func DefaultEngineTarget() EngineTarget {
	return EngineTarget{Type: config.ModelService, MinSlots: 1, StartSlots: 32, MaxSlots: 256, BatchPrefill: 20000}
}

// ReadEntry reads the settings of an entry; the error is of type config.FieldErrors.
func ReadEntry(file string) (entry Entry, err error) {
	entry = DefaultEntry()
	checker := checker{file: file}
	if checker.read(&entry) {
		checker.entry(entry)
	}
	return entry, checker.result()
}

// ReadTarget reads the settings of a target daemon; the error is of type config.FieldErrors.
func ReadTarget(file string) (target Target, err error) {
	target = DefaultTarget()
	checker := checker{file: file}
	if checker.read(&target) {
		for i := range target.Targets {
			target.Targets[i] = target.Targets[i].withDefaults()
		}
		checker.target(target)
	}
	return target, checker.result()
}

func (target EngineTarget) withDefaults() EngineTarget {
	defaults := DefaultEngineTarget()
	if target.Type == "" {
		target.Type = defaults.Type
	}
	if target.MinSlots == 0 {
		target.MinSlots = defaults.MinSlots
	}
	if target.StartSlots == 0 {
		target.StartSlots = defaults.StartSlots
	}
	if target.BatchPrefill == 0 {
		target.BatchPrefill = defaults.BatchPrefill
	}
	if target.MaxSlots == 0 {
		target.MaxSlots = defaults.MaxSlots
	}
	return target
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

type checker struct {
	file     string
	mistakes config.FieldErrors
}

func (checker *checker) add(path, format string, values ...any) {
	checker.mistakes = append(checker.mistakes, config.FieldError{File: checker.file, Path: "$." + path, Message: fmt.Sprintf(format, values...)})
}

func (checker *checker) result() (err error) {
	if len(checker.mistakes) == 0 {
		return nil
	}
	return checker.mistakes
}

func (checker *checker) read(value any) (ok bool) {
	data, err := os.ReadFile(checker.file)
	if err == nil {
		err = config.DecodeStrict(data, value)
	}
	if err != nil {
		checker.mistakes = append(checker.mistakes, config.FieldError{File: checker.file, Path: "$", Message: err.Error()})
	}
	return err == nil
}

func (checker *checker) process(process Process) {
	checker.name("name", process.Name)
	checker.name("place", process.Place)
	checker.name("failure_domain", process.FailureDomain)
	checker.required("tls.certificate", process.TLS.Certificate)
	checker.required("tls.key", process.TLS.Key)
	checker.required("tls.authority", process.TLS.Authority)
	checker.url("platform.store", process.Platform.Store, true)
	checker.url("platform.vm_list", process.Platform.VMList, true)
	checker.inRange("platform.calls_per_second", process.Platform.CallsPerSecond, 1, 1000)
	checker.oneOf("trace.exporter", process.Trace.Exporter, "none", "stdout", "otlp")
	checker.url("trace.endpoint", process.Trace.Endpoint, process.Trace.Exporter != "otlp")
	checker.inRange("trace.ratio", process.Trace.Ratio, 0, 1)
	checker.oneOf("log.level", process.Log.Level, "debug", "info", "warn", "error")
	checker.duration("drain.balancer_wait", process.Drain.BalancerWait, 0, 5*time.Minute)
	checker.duration("drain.limit", process.Drain.Limit, time.Second, time.Hour)
}

func (checker *checker) entry(entry Entry) {
	checker.process(entry.Process)
	checker.address("listen", entry.Listen, false)
	for i, address := range entry.Targets {
		checker.address(fmt.Sprintf("targets[%d]", i), address, false)
	}
	checker.inRange("subset_size", float64(entry.SubsetSize), 1, 4096)
	checker.duration("default_timeout", entry.DefaultTimeout, 10*time.Millisecond, time.Hour)
	checker.inRange("max_body_bytes", float64(entry.MaxBodyBytes), 1<<10, 8<<20)
	checker.inRange("max_attempts", float64(entry.MaxAttempts), 1, 3)
	checker.inRange("retry_share", entry.RetryShare, 0, 1)
	checker.inRange("max_accounts", float64(entry.MaxAccounts), 1, 1e6)
	checker.inRange("entry_count", float64(entry.EntryCount), 1, 1e4)
}

func (checker *checker) target(target Target) {
	checker.process(target.Process)
	checker.address("listen", target.Listen, false)
	checker.address("debug_listen", target.DebugListen, true)
	checker.duration("report_period", target.ReportPeriod, 10*time.Millisecond, 10*time.Second)
	checker.inRange("max_queued", float64(target.MaxQueued), 1, 1e6)
	checker.inRange("max_per_account", float64(target.MaxPerAccount), 1, 1e6)
	if len(target.Targets) == 0 {
		checker.add("targets", "a target daemon needs at least one target")
	}
	for i, engine := range target.Targets {
		where := fmt.Sprintf("targets[%d].", i)
		checker.name(where+"name", engine.Name)
		checker.name(where+"service", engine.Service)
		checker.oneOf(where+"type", string(engine.Type), string(config.ModelService), string(config.PlainService))
		checker.url(where+"address", engine.Address, false)
		checker.inRange(where+"min_slots", float64(engine.MinSlots), 1, 4096)
		checker.inRange(where+"start_slots", float64(engine.StartSlots), float64(engine.MinSlots), float64(engine.MaxSlots))
		checker.inRange(where+"max_slots", float64(engine.MaxSlots), float64(engine.MinSlots), 4096)
		checker.inRange(where+"batch_prefill", engine.BatchPrefill, 1, 1e9)
		if engine.MaxSlowdown != 0 {
			checker.inRange(where+"max_slowdown", engine.MaxSlowdown, 1.001, 100)
		}
	}
}

func (checker *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		checker.add(path, "%q is no name; 1 to 63 characters of a-z, 0-9, '.', '_' and '-' are allowed", name)
	}
}

func (checker *checker) required(path, value string) {
	if value == "" {
		checker.add(path, "is missing; the path of a PEM file is needed")
	}
}

func (checker *checker) address(path, address string, optional bool) {
	if optional && address == "" {
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		checker.add(path, "%q is not allowed; an IP number and a port are, such as \"127.0.0.1:8400\"", address)
	}
}

func (checker *checker) url(path, text string, optional bool) {
	if optional && text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		checker.add(path, "%q is not allowed; an http or https URL is", text)
	}
}

func (checker *checker) oneOf(path, value string, allowed ...string) {
	for _, known := range allowed {
		if value == known {
			return
		}
	}
	checker.add(path, "%q is not allowed; one of %q is", value, allowed)
}

func (checker *checker) inRange(path string, value, low, high float64) {
	if !(value >= low && value <= high) {
		checker.add(path, "%v is not allowed; %v to %v is", value, low, high)
	}
}

func (checker *checker) duration(path string, value config.Duration, low, high time.Duration) {
	if value.Duration() < low || value.Duration() > high {
		checker.add(path, "%s is not allowed; %s to %s is", value.Duration(), low, high)
	}
}
