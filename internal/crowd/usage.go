package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	sampleInterval  = 20 * time.Millisecond
	listeningState  = "0A" // of a socket in /proc/net/tcp
	bytesPerKB      = 1 << 10
	localField      = 1 // of a line of /proc/net/tcp
	stateField      = 3
	queueField      = 4 // bytes to be sent and bytes to be read
	fewestTCPFields = 5
)

// Monitor records the largest memory and number of descriptors that a process uses while Run runs. Bytes that have arrived on its
// connections and were not read count as memory.
type Monitor struct {
	PID   int
	Ports []int // on which the process accepts connections

	mutex       sync.Mutex
	memory      int64 // bytes
	descriptors int
}

// Run samples until stop is closed.
func (monitor *Monitor) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		monitor.sample()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// Peak returns the largest memory in bytes and the largest number of descriptors so far.
func (monitor *Monitor) Peak() (memory int64, descriptors int) {
	monitor.sample()
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.memory, monitor.descriptors
}

// sample records the current usage. A process that has exited uses nothing.
func (monitor *Monitor) sample() {
	resident, peak := residentBytes(monitor.PID)
	unread := unreadBytes(monitor.PID, monitor.Ports)
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", monitor.PID))
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.memory = max(monitor.memory, resident+unread, peak)
	monitor.descriptors = max(monitor.descriptors, len(entries))
}

// residentBytes returns the resident memory of a process, now and at its largest.
func residentBytes(pid int) (now, peak int64) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = kilobytes * bytesPerKB
		case "VmHWM:":
			peak = kilobytes * bytesPerKB
		}
	}
	return now, peak
}

// unreadBytes returns how many bytes wait to be read on the connections that a process has accepted on ports.
func unreadBytes(pid int, ports []int) (sum int64) {
	suffixes := map[string]bool{}
	for _, port := range ports {
		suffixes[fmt.Sprintf("%04X", port)] = true
	}
	file, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < fewestTCPFields || fields[stateField] == listeningState {
			continue
		}
		_, port, _ := strings.Cut(fields[localField], ":")
		if _, unread, ok := strings.Cut(fields[queueField], ":"); ok && suffixes[port] {
			count, _ := strconv.ParseInt(unread, 16, 64)
			sum += count
		}
	}
	return sum
}
