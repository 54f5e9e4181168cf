package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"cowslipway/io/transport/tcp"
)

const (
	loadTimeout        = 500 * time.Millisecond // for fetching the load and for probing
	dialTimeout        = time.Second
	maxIdleConnections = 1024
	maxMetricsBytes    = 4 << 20
	maxHeadBytes       = 64 << 10 // of a response
	runningMetric      = "vllm:num_requests_running"
	waitingMetric      = "vllm:num_requests_waiting"
	lastEventIDHeader  = "Last-Event-ID"
	fencingTokenHeader = "X-Fencing-Token"
	requestIDHeader    = "X-Request-Id"
)

// ErrNotSent is the cause of the error of a request that was certainly not sent: no connection could be established, or
// the request is invalid.
const ErrNotSent = errors.ConstError("engine is unreachable")

// ErrStaleFencingToken is the cause of the error of an order that the engine rejected because it has seen a higher fencing
// token.
const ErrStaleFencingToken = errors.ConstError("fencing token is stale")

// Client is an HTTP client of one engine or of one plain HTTP service.
type Client struct {
	Address string // base URL
	HTTP    *http.Client
}

// NewClient returns a client of the engine with the base URL address.
func NewClient(address string) *Client {
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext:            (&tcp.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}).DialContext,
	}
	return &Client{Address: address, HTTP: &http.Client{Transport: transport}}
}

// Request is a request to an engine.
type Request struct {
	RequestID   string
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	LastEventID int // number of events received before the stream broke; -1 starts a new stream
}

// Do sends request and returns the response. The cause of its error is ErrNotSent if the request was certainly not sent.
func (client *Client) Do(ctx context.Context, request Request) (response *http.Response, err error) {
	defer func() { err = errors.Annotate(err, "calling the engine") }()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, client.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	for name, values := range request.Header {
		httpRequest.Header[name] = values
	}
	httpRequest.Header.Set(requestIDHeader, request.RequestID)
	if request.LastEventID >= 0 {
		httpRequest.Header.Set(lastEventIDHeader, strconv.Itoa(request.LastEventID))
	}
	response, err = client.send(httpRequest)
	if err != nil {
		return nil, err
	}
	if err = belongs(response, request.RequestID); err != nil {
		_ = response.Body.Close() // with bytes unread, this closes the connection
		client.HTTP.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// belongs returns an error if a response is not the final one to a request. Engines that name the request do so in each response, and an earlier
// response may be written once more on a kept connection.
func belongs(response *http.Response, requestID string) (err error) {
	if response.StatusCode < http.StatusOK {
		return errors.Errorf("status %d is no final response", response.StatusCode)
	}
	if named := response.Header.Get(requestIDHeader); named != "" && named != requestID {
		return errors.Errorf("the response belongs to request %q", named)
	}
	return nil
}

// checkInformational returns an error for an informational response that has a body, which would be read as the final response.
func checkInformational(status int, header textproto.MIMEHeader) (err error) {
	if header.Get("Content-Length") != "" { // net/http does not show a Transfer-Encoding here
		return errors.Errorf("a response with the informational status %d has a body", status)
	}
	return nil
}

// send sends httpRequest. The cause of its error is ErrNotSent if no connection could be established.
func (client *Client) send(httpRequest *http.Request) (response *http.Response, err error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: checkInformational}
	response, err = client.HTTP.Do(httpRequest.WithContext(httptrace.WithClientTrace(httpRequest.Context(), trace)))
	if err == nil {
		return response, nil
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return nil, errors.WithType(err, ErrNotSent)
	}
	return nil, err
}

// Load is the load reported by an engine in its metrics, which lag behind its state.
type Load struct {
	Running int // requests being executed
	Waiting int // requests in the engine's queue
}

// FetchLoad fetches the engine's metrics, in the Prometheus text format with vLLM's names, and returns the load they report.
func (client *Client) FetchLoad(ctx context.Context) (load Load, err error) {
	defer func() { err = errors.Annotate(err, "fetching the engine's load") }()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, client.Address+"/metrics", nil)
	if err != nil {
		return Load{}, err
	}
	response, err := client.HTTP.Do(httpRequest)
	if err != nil {
		return Load{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Load{}, errors.Errorf("HTTP status %d", response.StatusCode)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return Load{}, err
	}
	running, ok := sumGauges(families[runningMetric])
	if !ok {
		return Load{}, errors.Errorf("metric %q is missing", runningMetric)
	}
	waiting, _ := sumGauges(families[waitingMetric])
	return Load{Running: running, Waiting: waiting}, nil
}

// sumGauges returns the sum of the gauges of family, and false if family is nil.
func sumGauges(family *dto.MetricFamily) (total int, ok bool) {
	if family == nil {
		return 0, false
	}
	for _, metric := range family.GetMetric() {
		total += int(metric.GetGauge().GetValue())
	}
	return total, true
}

// Order is a request that changes what an engine serves.
type Order struct {
	Path         string // such as /v1/load_lora_adapter
	Body         []byte
	FencingToken int64 // epoch of the order
}

// SendOrder sends order to the engine. The cause of its error is ErrStaleFencingToken if the engine rejected the fencing
// token, and ErrNotSent if no connection could be established.
func (client *Client) SendOrder(ctx context.Context, order Order) (err error) {
	defer func() { err = errors.Annotatef(err, "sending order %s", order.Path) }()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, client.Address+order.Path, bytes.NewReader(order.Body))
	if err != nil {
		return err
	}
	httpRequest.Header.Set(fencingTokenHeader, strconv.FormatInt(order.FencingToken, 10))
	response, err := client.send(httpRequest)
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
	return fmt.Errorf("HTTP status %d", response.StatusCode)
}

// Probe checks that the engine's address accepts TCP connections.
func (client *Client) Probe(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "probing the engine") }()
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
