package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	from  time.Time
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.from).Seconds(), fmt.Sprintf(format, values...))
}

// process is one process of the system.
type process struct {
	name, role, listen, ready, settings string
	log                                 string
	command                             *exec.Cmd
	done                                chan struct{}
}

// system is a small deployment of the project's programs.
type system struct {
	program   string
	directory string
	store     *store
	record    *record
	extra     map[string]any // settings of the site besides the usual ones
	processes []*process
}

func freePort(network string) string {
	if network == "udp" {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		return conn.LocalAddr().String()
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// add prepares a process with settings as deploy/settings.json renders them.
func (s *system) add(role, name, zone string) *process {
	p := &process{name: name, role: role, settings: filepath.Join(s.directory, name+".json"), log: filepath.Join(s.directory, name+".log")}
	settings := map[string]any{
		"name": name, "place": "bayern-sued", "failure_domain": zone, "listen": "", "ready_listen": "", "engine": "", "peer_listen": freePort("udp"),
		"metrics_listen": freePort("tcp"), "data_directory": "", "store_address": s.store.address, "max_record_bytes": 1048576,
		"memory_mb": 314, "max_descriptors": 8192, "cores": 1, "grace_period": "8s", "quota_overshoot": 0.1, "result_retention": "120s",
	}
	if role == "ingress" {
		p.listen, p.ready = freePort("tcp"), freePort("tcp")
		settings["listen"], settings["ready_listen"], settings["memory_mb"] = p.listen, p.ready, 536
	} else {
		data := filepath.Join(s.directory, name+".data")
		_ = os.MkdirAll(data, 0o755)
		settings["data_directory"] = data
	}
	for key, value := range s.extra {
		settings[key] = value
	}
	data, _ := json.Marshal(settings)
	_ = os.WriteFile(p.settings, data, 0o600)
	s.processes = append(s.processes, p)
	return p
}

// start starts a process, with the command of the deploy file for its role.
func (s *system) start(p *process) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(s.program, p.role)
	p.command.Env = []string{"COWSLIPWAY_CONFIG=" + p.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true", "PATH=" + os.Getenv("PATH"), "HOME=" + s.directory}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	done, command := p.done, p.command
	go func() {
		_ = command.Wait()
		close(done)
	}()
	s.record.line("%s starts", p.name)
	return nil
}

// signal sends a signal to a process; SIGKILL is waited for.
func (s *system) signal(p *process, sig syscall.Signal) {
	s.record.line("%s gets %s", p.name, sig)
	_ = p.command.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-p.done
	}
}

// awaitReady waits until all ingresses are ready.
func (s *system) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, p := range s.processes {
		for p.ready != "" {
			response, err := client.Get("http://" + p.ready + "/api/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that were started.
func (s *system) stop() {
	for _, p := range s.processes {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

func joined(values []string) string { return strings.Join(values, ", ") }
