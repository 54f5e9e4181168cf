package crowd

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const (
	descriptorsVariable = "COWSLIPWAY_TEST_DESCRIPTORS"
	defaultDescriptors  = 4100
	maxTries            = 5
	defaultRetryAfter   = 500 * time.Millisecond
)

// Process is a process whose usage is checked.
type Process struct {
	Name      string
	Command   *exec.Cmd
	Exited    <-chan struct{} // closed after the process has exited
	Addresses []string        // at which it accepts connections
	MemoryMB  int             // memory limit of its settings
}

// Subject is what a crowd meets.
type Subject struct {
	Address   string // at which the first process accepts callers
	ReadyURL  string // of the first process
	Request   Request
	Processes []Process
	Others    map[string]Request // further requests, by their names in scripts
	Addresses map[string]string  // further addresses of the first process, by their names in scripts
	// Run executes a command of the product's own scripts, and may be nil.
	Run func(line string) string
}

// Runner executes scripts of crowds against a subject. Start must be set before Run is called.
type Runner struct {
	Start func(t *testing.T) *Subject

	subject     *Subject
	descriptors int
	monitors    []*Monitor // one for each process of the subject
	crowds      []*Crowd
}

// LimitDescriptors sets the limit of descriptors that a Runner has asked for on this process. It is called at the start of a process
// that a test starts.
func LimitDescriptors() (err error) {
	text := os.Getenv(descriptorsVariable)
	if text == "" {
		return nil
	}
	limit, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return err
	}
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit})
}

// Run executes a script.
func (runner *Runner) Run(t *testing.T, path string) {
	stop := make(chan struct{})
	defer close(stop)
	defer runner.leave()
	datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "start" {
			runner.start(t, intArg(t, data, "descriptors", defaultDescriptors), stop)
			return "ok\n"
		}
		return runner.execute(t, data) + "\n"
	})
}

// start starts the subject with a limit of descriptors, and the monitors.
func (runner *Runner) start(t *testing.T, descriptors int, stop <-chan struct{}) {
	runner.descriptors = descriptors
	t.Setenv(descriptorsVariable, strconv.Itoa(descriptors))
	runner.subject = runner.Start(t)
	for _, process := range runner.subject.Processes {
		monitor := &Monitor{PID: process.Command.Process.Pid}
		for _, address := range process.Addresses {
			if _, port, err := net.SplitHostPort(address); err == nil {
				number, _ := strconv.Atoi(port)
				monitor.Ports = append(monitor.Ports, number)
			}
		}
		runner.monitors = append(runner.monitors, monitor)
		go monitor.Run(stop)
	}
}

// execute executes one command of a script after start and returns its output.
func (runner *Runner) execute(t *testing.T, data *datadriven.TestData) string {
	switch data.Cmd {
	case "crowd":
		crowd := runner.newCrowd(t, data)
		runner.crowds = append(runner.crowds, crowd)
		crowd.Open(t.Context())
		return "ok"
	case "run":
		var out []string
		for line := range strings.Lines(data.Input) {
			if output := runner.subject.Run(strings.TrimSpace(line)); output != "" {
				out = append(out, output)
			}
		}
		return cmp.Or(strings.Join(out, "\n"), "ok")
	case "leave":
		runner.leave()
		return "ok"
	case "usage":
		return runner.usage(t)
	case "ordinary":
		return runner.ordinary(t, intArg(t, data, "body", 0))
	case "ready":
		return retry(t, func(int) (*http.Request, error) {
			return http.NewRequestWithContext(t.Context(), http.MethodGet, runner.subject.ReadyURL, nil)
		})
	case "stop":
		process := runner.subject.Processes[0]
		if err := process.Command.Process.Signal(syscall.SIGTERM); err != nil {
			return err.Error()
		}
		<-process.Exited
		return fmt.Sprintf("exit %d", process.Command.ProcessState.ExitCode())
	}
	t.Fatalf("unknown command %q", data.Cmd)
	return ""
}

// newCrowd returns the crowd that a command describes.
func (runner *Runner) newCrowd(t *testing.T, data *datadriven.TestData) *Crowd {
	subject := runner.subject
	crowd := &Crowd{Address: subject.Address, Request: subject.Request, Shape: Shape{
		Clients: intArg(t, data, "clients", 1), Body: intArg(t, data, "body", 1), Short: intArg(t, data, "short", 0),
		Piece: intArg(t, data, "piece", 0), Chunk: intArg(t, data, "chunk", 0), Overflow: intArg(t, data, "overflow", 0),
		Head: intArg(t, data, "head", 0), Ahead: intArg(t, data, "ahead", 0), Await: data.HasArg("await"),
	}}
	if data.HasArg("request") {
		name := ""
		data.ScanArgs(t, "request", &name)
		crowd.Request = subject.Others[name]
	}
	if data.HasArg("at") {
		name := ""
		data.ScanArgs(t, "at", &name)
		crowd.Address = subject.Addresses[name]
	}
	return crowd
}

// leave disconnects all crowds.
func (runner *Runner) leave() {
	for _, crowd := range runner.crowds {
		crowd.Close()
	}
	runner.crowds = nil
}

// usage reports whether all processes live and have stayed within their limits.
func (runner *Runner) usage(t *testing.T) string {
	for number, process := range runner.subject.Processes {
		select {
		case <-process.Exited:
			return process.Name + " has exited: " + process.Command.ProcessState.String()
		default:
		}
		memory, descriptors := runner.monitors[number].Peak()
		t.Logf("%s: at most %d MB, %d descriptors", process.Name, memory>>20, descriptors)
		if limit := int64(process.MemoryMB) << 20; memory > limit {
			return fmt.Sprintf("%s: memory %d MB, limit %d MB", process.Name, memory>>20, process.MemoryMB)
		}
		if descriptors >= runner.descriptors {
			return fmt.Sprintf("%s: descriptors %d, limit %d", process.Name, descriptors, runner.descriptors)
		}
	}
	return "within limits"
}

// ordinary sends a request as a caller does that repeats what is refused, and returns the status.
func (runner *Runner) ordinary(t *testing.T, size int) (last string) {
	return retry(t, func(try int) (*http.Request, error) { return runner.newRequest(t, size, try) })
}

// retry sends a request until it is served, a few times, and returns the last status. Balancers repeat their checks as callers do.
func retry(t *testing.T, newRequest func(try int) (*http.Request, error)) (last string) {
	for try := range maxTries {
		request, err := newRequest(try)
		if err != nil {
			t.Fatal(err)
		}
		var retryAfter time.Duration
		if last, retryAfter = exchange(request); last == "200" {
			return last
		}
		time.Sleep(retryAfter)
	}
	return last
}

// newRequest returns an ordinary request with a body of at least one byte.
func (runner *Runner) newRequest(t *testing.T, size, try int) (request *http.Request, err error) {
	ordinary := runner.subject.Request
	id := fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(t.Name(), "/", "-"), time.Now().UnixNano(), try)
	head, body := ordinary.Head(id), ordinary.body(id, size)
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	if request, err = http.ReadRequest(bufio.NewReader(strings.NewReader(framed))); err != nil {
		return nil, err
	}
	request.URL.Scheme, request.URL.Host, request.RequestURI = "http", runner.subject.Address, ""
	return request.WithContext(t.Context()), nil
}

// exchange sends a request on a new connection and returns the status of its complete response, and when to send it again.
func exchange(request *http.Request) (status string, retryAfter time.Duration) {
	client := &http.Client{Timeout: awaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "no response", defaultRetryAfter
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return "the response is not complete", defaultRetryAfter
	}
	retryAfter = defaultRetryAfter
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return strconv.Itoa(response.StatusCode), retryAfter
}

// intArg returns a named argument of a command, or fallback.
func intArg(t *testing.T, data *datadriven.TestData, name string, fallback int) int {
	if data.HasArg(name) {
		data.ScanArgs(t, name, &fallback)
	}
	return fallback
}
