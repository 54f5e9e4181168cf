package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine runs one process of the system under test.
type machine struct {
	system                 *system
	name, class, zone, ip  string
	command                *exec.Cmd
	exited                 chan struct{}
	settingsPath, dataPath string
}

// system starts the programs of the project with the commands of its deploy file.
type system struct {
	record *record
	root   string // of the repository
	temp   string
	net    string // first three numbers of the loopback addresses
	last   int    // last number that was given
	store  *store

	mutex    sync.Mutex
	machines []*machine
}

// freeNet returns the first three numbers of loopback addresses that nothing listens on.
func freeNet() (string, error) {
	for try := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+try)%128, 1+(os.Getpid()/128+7*try)%250)
		listener, err := net.Listen("tcp", prefix+".1:9464")
		if err == nil {
			_ = listener.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// address returns a loopback address that was not given yet.
func (system *system) address() string {
	system.last++
	return fmt.Sprintf("%s.%d", system.net, system.last)
}

// add prepares a machine of a class, "front" or "store".
func (system *system) add(name, class, zone string) (*machine, error) {
	added := &machine{system: system, name: name, class: class, zone: zone, ip: system.address()}
	added.settingsPath = filepath.Join(system.temp, name+".json")
	if class == "store" {
		added.dataPath = filepath.Join(system.temp, name+"-data")
		if err := os.MkdirAll(added.dataPath, 0o700); err != nil {
			return nil, err
		}
	}
	template, err := os.ReadFile(filepath.Join(system.root, "deploy", "settings.json"))
	if err != nil {
		return nil, err
	}
	settings, err := render(string(template), added.fields())
	if err != nil {
		return nil, err
	}
	system.machines = append(system.machines, added)
	return added, os.WriteFile(added.settingsPath, []byte(settings), 0o600)
}

// fields returns the settings of a process, as on the users' pages for a small deployment.
func (machine *machine) fields() map[string]any {
	memory, share := 284, 0.304
	listen := map[string]any{}
	if machine.class == "store" {
		memory, share = 334, 0.8
	} else {
		listen = map[string]any{"front": machine.ip + ":8161", "ready_addr": machine.ip + ":8167"}
	}
	var data any
	if machine.dataPath != "" {
		data = machine.dataPath
	}
	return map[string]any{
		"node": machine.name, "region": "bernbiet", "zone": machine.zone, "ip": machine.ip, "listen": listen, "internal_ports": []any{7720, 7735},
		"data_dir": data, "limits": map[string]any{"memory_mb": memory, "cores": 1, "cpu_share": share},
		"platform": map[string]any{"address": machine.system.store.address, "value_bytes": valueBytes},
		"bounds":   map[string]any{"grace_s": 8, "status_s": 120, "quota_overshoot": 0.1},
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/[a-z0-9_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// render fills a template in as the platform does, as far as the project's template needs.
func render(template string, fields map[string]any) (string, error) {
	lookUp := func(path string) any {
		value := any(fields)
		for _, name := range strings.Split(path, ".") {
			switch found := value.(type) {
			case map[string]any:
				value = found[name]
			case []any:
				value = nil
				if name == "0" {
					value = found[0]
				}
			default:
				return nil
			}
		}
		return value
	}
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if lookUp(parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	template = placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value := lookUp(parts[1])
		if parts[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
	if strings.Contains(template, "{{") {
		return "", fmt.Errorf("the template of the settings has a form that is not known here")
	}
	return template, nil
}

// start starts the machine's process.
func (machine *machine) start() error {
	role := map[string]string{"front": "ingress", "store": "worker"}[machine.class]
	output, err := os.OpenFile(filepath.Join(machine.system.temp, machine.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command("target/cowslipway", role)
	command.Dir = machine.system.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPWAY_CONFIG=" + machine.settingsPath, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	command.Stdout, command.Stderr = output, output
	if err = command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	machine.system.mutex.Lock()
	machine.command, machine.exited = command, exited
	machine.system.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	machine.system.record.log("%s: %s started", machine.name, role)
	return nil
}

// signal sends a signal to the machine's process.
func (machine *machine) signal(signal syscall.Signal) {
	machine.system.record.log("%s: %s", machine.name, signal)
	_ = machine.command.Process.Signal(signal)
}

// restart stops the process as the platform does: SIGTERM, SIGKILL after the grace period, and a start after a short delay.
func (machine *machine) restart() error {
	machine.signal(syscall.SIGTERM)
	select {
	case <-machine.exited:
	case <-time.After(8 * time.Second):
		machine.signal(syscall.SIGKILL)
		<-machine.exited
	}
	time.Sleep(300 * time.Millisecond)
	return machine.start()
}

// ready reports whether an ingress says that it is ready.
func (machine *machine) ready() bool {
	response, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + machine.ip + ":8167/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes that were started.
func (system *system) stop() {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	for _, machine := range system.machines {
		if machine.command == nil {
			continue
		}
		_ = machine.command.Process.Signal(syscall.SIGCONT)
		_ = machine.command.Process.Kill()
		<-machine.exited
	}
}
