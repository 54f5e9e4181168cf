package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"cowslipway/core/state/jobrecord"
	"cowslipway/io/port"
	"cowslipway/io/process/node"
	"cowslipway/io/store"
)

// records is a port.Records without prefixes: all records are own ones.
type records struct {
	port.Records // nil, so that a call which the test does not expect panics
}

func (records) Classify(key string) (kind port.RecordKind, name string) { return port.OwnRecord, key }
func (records) Prefixes(...string) (prefixes []string)                  { return []string{""} }
func (records) OwnKey(name string) (key string)                         { return name }

// callers is a port.Callers that encodes a page as the IDs of its results.
type callers struct {
	port.Callers // nil, so that a call which the test does not expect panics
}

func (callers) Results(_ int, results []jobrecord.Result, next int) (body []byte, err error) {
	ids := []string{}
	for _, result := range results {
		ids = append(ids, result.ID)
	}
	return fmt.Appendf(nil, "%v, next %d", ids, next), nil
}

// jobStore is a Driver that holds one job and its results.
type jobStore struct {
	store.Driver // nil, so that a call which the test does not expect panics

	mutex      sync.Mutex
	items      []store.Item   // oldest first; each has the next revision
	unwatched  map[int64]bool // revisions of items that watches leave out
	getDelay   time.Duration  // time from reading a key to the response
	watchDelay time.Duration  // time from reading the changes to the response
	gets       int            // calls of Get
}

func (service *jobStore) put(key string, record any) {
	value, err := jobrecord.Encode(record)
	if err != nil {
		panic(err)
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.items = append(service.items, store.Item{Key: key, Value: value, Revision: int64(len(service.items) + 1)})
}

// leaveOutNext makes watches leave out the next item.
func (service *jobStore) leaveOutNext() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.unwatched == nil {
		service.unwatched = map[int64]bool{}
	}
	service.unwatched[int64(len(service.items)+1)] = true
}

func (service *jobStore) Get(_ context.Context, key string) (item store.Item, ok bool, err error) {
	service.mutex.Lock()
	service.gets++
	delay := service.getDelay
	for _, candidate := range service.items {
		if candidate.Key == key {
			item, ok = candidate, true
		}
	}
	service.mutex.Unlock()
	time.Sleep(delay)
	return item, ok, nil
}

func (service *jobStore) List(context.Context, string, string) (items []store.Item, more bool, revision int64, err error) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return slices.Clone(service.items), false, int64(len(service.items)), nil
}

func (service *jobStore) Watch(_ context.Context, _ string, revision int64, wait time.Duration) (items []store.Item, current int64, err error) {
	service.mutex.Lock()
	delay := service.watchDelay
	items, current = slices.Clone(service.items[revision:]), int64(len(service.items))
	items = slices.DeleteFunc(items, func(item store.Item) bool { return service.unwatched[item.Revision] })
	service.mutex.Unlock()
	if len(items) == 0 {
		delay = max(delay, wait)
	}
	time.Sleep(delay)
	return items, current, nil
}

// newServer returns an ingress that follows service until the test ends. The store has a job j with three items.
func newServer(t *testing.T, service *jobStore) (server *Server) {
	service.put(jobrecord.JobKey("j"), jobrecord.Job{ID: "j", Items: []jobrecord.Item{{ID: "j-0"}, {ID: "j-1"}, {ID: "j-2"}}})
	member := &node.Node{Records: records{}, Driver: service, Log: zap.NewNop()}
	if err := member.Prepare(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { member.FollowStore(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return &Server{Node: member, Callers: callers{}, Log: zap.NewNop()}
}

// read calls for results and describes the response.
func read(server *Server, after int, wait time.Duration) string {
	recorder := httptest.NewRecorder()
	server.serveResults(recorder, httptest.NewRequest(http.MethodGet, "/", nil), port.Call{Kind: port.ResultsCall, JobID: "j", After: after, Wait: wait})
	return fmt.Sprintf("%d %s", recorder.Code, strings.TrimSpace(recorder.Body.String()))
}

// TestResults runs each script of testdata/results in simulated time against an ingress of its own. The output of a read is
// the time that it took, the response, and whether the store was asked.
func TestResults(t *testing.T) {
	datadriven.Walk(t, "testdata/results", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var out strings.Builder
			synctest.Test(t, func(t *testing.T) {
				service := &jobStore{}
				server := newServer(t, service)
				results := 0
				var reading sync.WaitGroup
				for line := range strings.Lines(data.Input) {
					words := strings.Fields(line)
					duration := func() time.Duration {
						duration, err := time.ParseDuration(words[len(words)-1])
						if err != nil {
							t.Error(err)
						}
						return duration
					}
					service.mutex.Lock()
					switch words[0] {
					case "get-delay":
						service.getDelay = duration()
					case "watch-delay":
						service.watchDelay = duration()
					}
					service.mutex.Unlock()
					switch words[0] {
					case "sleep":
						time.Sleep(duration())
					case "result":
						if words[len(words)-1] == "unwatched" {
							service.leaveOutNext()
						}
						service.put(jobrecord.ChunkKey("j", results), jobrecord.Chunk{Results: []jobrecord.Result{{ID: fmt.Sprintf("j-%d", results)}}})
						results++
					case "read": // the words after it: position and wait; the call goes on while the next lines run
						after, err := strconv.Atoi(words[1])
						if err != nil {
							t.Error(err)
						}
						wait := duration()
						reading.Go(func() {
							started, gets := time.Now(), service.getCalls()
							response := read(server, after, wait)
							fmt.Fprintf(&out, "%s: %s; store asked: %t\n", time.Since(started).Round(10*time.Millisecond), response, service.getCalls() > gets)
						})
						synctest.Wait()
					}
				}
				reading.Wait()
			})
			return out.String()
		})
	})
}

func (service *jobStore) getCalls() int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.gets
}

// TestUpdateAtTheEndOfTheWait guards against a page without results whose view is older than it is taken for, because the
// view was updated between reading the results and its age. The update arrives in the moment in which the caller's wait ends.
func TestUpdateAtTheEndOfTheWait(t *testing.T) {
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			service := &jobStore{}
			server := newServer(t, service)
			setWatchDelay := func(delay time.Duration) {
				service.mutex.Lock()
				defer service.mutex.Unlock()
				service.watchDelay = delay
			}
			time.Sleep(380 * time.Millisecond) // the first watch has ended
			setWatchDelay(1200 * time.Millisecond)
			time.Sleep(120 * time.Millisecond) // the second one started at 0.4 s
			setWatchDelay(100 * time.Millisecond)
			service.put(jobrecord.ChunkKey("j", 0), jobrecord.Chunk{Results: []jobrecord.Result{{ID: "j-0"}}})
			response := read(server, 0, 1200*time.Millisecond) // ends at 1.7 s, as does the third watch
			if strings.HasPrefix(response, "200 []") {
				t.Errorf("response %q, 1.2 s after the result was written", response)
			}
		})
		if t.Failed() {
			return
		}
	}
}
