package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	loadTimeout     = 500 * time.Millisecond
	dialTimeout     = time.Second
	maxIdle         = 1024
	maxMetricsBytes = 4 << 20
	runningMetric   = "vllm:num_requests_running"
	waitingMetric   = "vllm:num_requests_waiting"
	lastEventHeader = "Last-Event-ID"
	fencingHeader   = "X-Fencing-Token"
	requestIDHeader = "X-Request-Id"
)

// ErrUnreachable is the cause of an error of a request that never reached the engine.
const ErrUnreachable = errors.ConstError("engine not reached")

// ErrStaleFencingToken is the cause of an error of an order with a fencing token older than the engine has seen.
const ErrStaleFencingToken = errors.ConstError("fencing token is too old")

// Client speaks to one engine or plain service.
type Client struct {
	Address string // base URL
	HTTP    *http.Client
}

// NewClient returns a client of the engine at address.
func NewClient(address string) *Client {
	transport := &http.Transport{
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &Client{Address: address, HTTP: &http.Client{Transport: transport}}
}

// Request is one request to an engine.
type Request struct {
	RequestID   string
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	LastEventID int // events of a broken stream that were received; -1 starts a new one
}

// Do sends call; the error's cause is ErrRefused where the engine certainly did not get it.
func (client *Client) Do(ctx context.Context, call Request) (response *http.Response, err error) {
	defer func() { err = errors.Annotate(err, "calling the engine") }()
	question, err := http.NewRequestWithContext(ctx, call.Method, client.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.WithType(err, ErrUnreachable)
	}
	for name, values := range call.Header {
		question.Header[name] = values
	}
	question.Header.Set(requestIDHeader, call.RequestID)
	if call.LastEventID >= 0 {
		question.Header.Set(lastEventHeader, strconv.Itoa(call.LastEventID))
	}
	return client.send(question)
}

// send sends question; the error's cause is ErrRefused where nobody took the connection.
func (client *Client) send(question *http.Request) (response *http.Response, err error) {
	response, err = client.HTTP.Do(question)
	if err == nil {
		return response, nil
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return nil, errors.WithType(err, ErrUnreachable)
	}
	return nil, err
}

// Load is what an engine reports of itself, with a lag.
type Load struct {
	Running int
	Waiting int
}

// FetchLoad reads the engine's load report (Prometheus text with vLLM's metric names).
func (client *Client) FetchLoad(ctx context.Context) (load Load, err error) {
	defer func() { err = errors.Annotate(err, "reading the engine's load") }()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	question, err := http.NewRequestWithContext(ctx, http.MethodGet, client.Address+"/metrics", nil)
	if err != nil {
		return Load{}, err
	}
	response, err := client.HTTP.Do(question)
	if err != nil {
		return Load{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Load{}, errors.Errorf("status %d", response.StatusCode)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return Load{}, err
	}
	running, ok := sum(families[runningMetric])
	if !ok {
		return Load{}, errors.Errorf("no metric %q", runningMetric)
	}
	waiting, _ := sum(families[waitingMetric])
	return Load{Running: running, Waiting: waiting}, nil
}

func sum(family *dto.MetricFamily) (total int, ok bool) {
	if family == nil {
		return 0, false
	}
	for _, metric := range family.GetMetric() {
		total += int(metric.GetGauge().GetValue())
	}
	return total, true
}

// Order tells an engine to change what it serves.
type Order struct {
	Path         string // such as /v1/load_lora_adapter
	Body         []byte
	FencingToken int64 // fencing token: the epoch of the placement that the order follows from
}

// SendOrder sends order; the error's cause is ErrFenced where the engine refused the token.
func (client *Client) SendOrder(ctx context.Context, order Order) (err error) {
	defer func() { err = errors.Annotatef(err, "ordering %s", order.Path) }()
	question, err := http.NewRequestWithContext(ctx, http.MethodPost, client.Address+order.Path, bytes.NewReader(order.Body))
	if err != nil {
		return err
	}
	question.Header.Set(fencingHeader, strconv.FormatInt(order.FencingToken, 10))
	response, err := client.send(question)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return ErrStaleFencingToken
	}
	return fmt.Errorf("status %d", response.StatusCode)
}

// Probe checks that the engine's address accepts connections.
func (client *Client) Probe(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "probing the target") }()
	parsed, err := url.Parse(client.Address)
	if err != nil {
		return err
	}
	dialer := net.Dialer{Timeout: loadTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", parsed.Host)
	if err != nil {
		return err
	}
	return connection.Close()
}
