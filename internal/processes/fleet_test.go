package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"

	"cowslipway/core/state/config"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/fakeplatform"
	"cowslipway/io/process/cli"
	"cowslipway/io/process/settings"
	"cowslipway/io/protocol/etcd"
	"cowslipway/io/transport/quic"
)

const (
	roleVariable = "COWSLIPWAY_TEST_ROLE"
	patience     = 60 * time.Second // bounds a wait for something that must happen; no verdict hangs on it
	pollPause    = 20 * time.Millisecond
)

// TestMain lets the test binary be each of the system's programs.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "cowslipway":
		cli := &cli.CLI{Out: os.Stdout, Err: os.Stderr}
		os.Exit(cli.Run(os.Args[1:]))
	case "fakeengine":
		command := &fakeengine.Command{}
		exitOn(parse(command))
		exitOn(command.Run())
	case "fakeplatform":
		command := &fakeplatform.Command{}
		exitOn(parse(command))
		exitOn(command.Run())
	}
	os.Exit(m.Run())
}

func parse(command any) (err error) {
	_, err = flags.Parse(command)
	return err
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// process is one process of a fleet.
type process struct {
	name      string
	role      string
	arguments []string
	address   string
	command   *exec.Cmd
	log       bytes.Buffer
	ended     chan struct{}
}

// fleet is a whole system of processes for one script.
type fleet struct {
	t         *testing.T
	dir       string
	authority *quic.Authority
	processes map[string]*process
	vms       []etcd.VM
	paused    map[string]bool // addresses of stopped processes
	client    *http.Client
}

func newFleet(t *testing.T) *fleet {
	authority, err := quic.NewAuthority()
	must(t, err)
	fleet := &fleet{t: t, dir: t.TempDir(), authority: authority, processes: map[string]*process{}, paused: map[string]bool{}, client: &http.Client{Timeout: patience}}
	t.Cleanup(fleet.stop)
	return fleet
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (fleet *fleet) stop() {
	for _, process := range fleet.processes {
		if process.command != nil && process.command.Process != nil {
			_ = process.command.Process.Kill()
			<-process.ended
		}
		if fleet.t.Failed() && process.role == "cowslipway" {
			fleet.t.Logf("log of %s:\n%s", process.name, tail(process.log.String()))
		}
	}
}

func tail(text string) string { return text[max(0, len(text)-4000):] }

func (fleet *fleet) start(process *process) {
	executable, err := os.Executable()
	must(fleet.t, err)
	process.command = exec.Command(executable, process.arguments...)
	process.command.Env = append(os.Environ(), roleVariable+"="+process.role)
	process.command.Stderr = &process.log
	process.ended = make(chan struct{})
	must(fleet.t, process.command.Start())
	fleet.processes[process.name] = process
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(process.command, process.ended)
}

func (fleet *fleet) signal(name string, signal syscall.Signal) {
	process, ok := fleet.processes[name]
	if !ok {
		fleet.t.Fatalf("there is no process %q", name)
	}
	must(fleet.t, process.command.Process.Signal(signal))
	if signal == syscall.SIGKILL {
		<-process.ended
	}
}

// Ports are taken from below the range from which the system gives ports to outgoing connections: one of
// those could take a port between its choice here and its use by a process.
const (
	firstPort = 12000
	portCount = 16000
)

var nextPort atomic.Int32

func (fleet *fleet) freeAddress(network string) string {
	for range portCount {
		offset := (int(nextPort.Add(1)) + os.Getpid()*64) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if free(network, address) {
			return address
		}
	}
	fleet.t.Fatal("no port is free")
	return ""
}

func free(network, address string) bool {
	var socket io.Closer
	var err error
	if network == "udp" {
		socket, err = net.ListenPacket(network, address)
	} else {
		socket, err = net.Listen(network, address)
	}
	if err != nil {
		return false
	}
	return socket.Close() == nil
}

func (fleet *fleet) keyFiles(name string) quic.KeyFiles {
	files := quic.KeyFiles{
		Certificate: filepath.Join(fleet.dir, name+".crt"),
		Key:         filepath.Join(fleet.dir, name+".key"),
		Authority:   filepath.Join(fleet.dir, name+"-authority.crt"),
	}
	must(fleet.t, fleet.authority.WriteFiles(name, files))
	return files
}

func (fleet *fleet) writeJSON(name string, value any) (path string) {
	data, err := json.Marshal(value)
	must(fleet.t, err)
	path = filepath.Join(fleet.dir, name)
	must(fleet.t, os.WriteFile(path, data, 0o600))
	return path
}

func (fleet *fleet) startPlatform(flags ...string) {
	address := fleet.freeAddress("tcp")
	fleet.start(&process{name: "platform", role: "fakeplatform", address: address, arguments: append([]string{"--listen", address}, flags...)})
	fleet.await("the platform", func() bool { return fleet.ok(address, "/calls") })
}

func (fleet *fleet) startEngine(name string, flags ...string) (address string) {
	address = fleet.freeAddress("tcp")
	fleet.start(&process{name: name, role: "fakeengine", address: address, arguments: append([]string{"--listen", address, "--name", name}, flags...)})
	fleet.await(name, func() bool { return fleet.ok(address, "/metrics") })
	return address
}

func (fleet *fleet) process(name, place string) settings.Process {
	common := settings.DefaultTarget().Process
	common.Name, common.Place, common.FailureDomain = name, place, place
	common.TLS = fleet.keyFiles(name)
	common.Platform.Store = "http://" + fleet.processes["platform"].address
	common.Platform.VMList = common.Platform.Store + "/vms"
	common.Platform.CallsPerSecond = 200
	common.Drain = settings.Drain{Limit: config.Duration(patience)}
	return common
}

// startTarget starts a target daemon before an engine that runs already.
func (fleet *fleet) startTarget(name, place, engine string) {
	target := settings.DefaultTarget()
	target.Process = fleet.process(name, place)
	target.Listen = fleet.freeAddress("udp")
	target.ReportPeriod = config.Duration(50 * time.Millisecond)
	model, plain := settings.DefaultEngineTarget(), settings.DefaultEngineTarget()
	model.Name, model.Service = name+"-llm", modelService
	plain.Name, plain.Service, plain.Type = name+"-plain", plainService, config.PlainService
	model.Address = "http://" + fleet.processes[engine].address
	plain.Address = model.Address
	target.Targets = []settings.EngineTarget{model, plain}
	fleet.start(&process{name: name, role: "cowslipway", address: target.Listen, arguments: []string{"target", "--settings", fleet.writeJSON(name+".json", target)}})
	fleet.vms = append(fleet.vms, etcd.VM{Name: name, Address: target.Listen, Place: place, Role: etcd.TargetRole, State: etcd.LiveState})
	fleet.publishVMs()
}

func (fleet *fleet) publishVMs() {
	data, err := json.Marshal(fleet.vms)
	must(fleet.t, err)
	fleet.put("/vms", data)
}

func (fleet *fleet) put(path string, data []byte) {
	request, err := http.NewRequest(http.MethodPut, "http://"+fleet.processes["platform"].address+path, bytes.NewReader(data))
	must(fleet.t, err)
	response, err := fleet.client.Do(request)
	must(fleet.t, err)
	_ = response.Body.Close()
}

func (fleet *fleet) startEntry(name, place string) {
	entry := settings.DefaultEntry()
	entry.Process = fleet.process(name, place)
	entry.Listen = fleet.freeAddress("tcp")
	entry.OperatorKeys = []string{config.KeyDigest(operatorKey)}
	fleet.start(&process{name: name, role: "cowslipway", address: entry.Listen, arguments: []string{"entry", "--settings", fleet.writeJSON(name+".json", entry)}})
	fleet.await(name, func() bool { return fleet.ok(entry.Listen, "/healthz") })
}

func (fleet *fleet) ok(address, path string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	must(fleet.t, err)
	response, err := fleet.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// await waits until condition holds; it fails the test where that never happens.
func (fleet *fleet) await(what string, condition func() bool) {
	fleet.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			fleet.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(pollPause)
	}
}

func (fleet *fleet) entries() (addresses []string) {
	for _, name := range []string{"n1", "n2", "n3"} {
		if process, ok := fleet.processes[name]; ok {
			addresses = append(addresses, process.address)
		}
	}
	return addresses
}

// runs returns how often the engines began to run each prompt, by their own records.
func (fleet *fleet) runs() (begun map[uint64]int) {
	begun = map[uint64]int{}
	for _, process := range fleet.processes {
		if process.role != "fakeengine" {
			continue
		}
		response, err := fleet.client.Get("http://" + process.address + "/runs")
		if err != nil {
			continue // an engine that was killed has taken its record with it
		}
		var runs []fakeengine.Run
		err = json.NewDecoder(response.Body).Decode(&runs)
		_ = response.Body.Close()
		must(fleet.t, err)
		for _, run := range runs {
			begun[run.Prompt]++
		}
	}
	return begun
}

func words(text string) []string { return strings.Fields(text) }
