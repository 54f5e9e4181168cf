package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"cowslipway/core/state/config"
)

const (
	clientTimeout    = 20 * time.Second
	maxResponseBytes = 64 << 20
)

// Client sends an operator's requests to an entry.
type Client struct {
	Server string // base URL of the entry
	Key    string // API key
}

// StatusError is returned for a response with an HTTP status of 300 or above, except for a conflict that is described in JSON.
type StatusError struct {
	Status      int    // HTTP status
	Disposition string // value of the header Cowslipway-Disposition
	Body        []byte
}

// Error returns the status, the disposition and the response's body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("HTTP status %d (%s): %s", e.Status, e.Disposition, e.Body)
}

// call sends input as JSON and decodes the JSON response into output. If output is nil, the response's body is ignored.
func (client *Client) call(ctx context.Context, method, path string, input, output any) (err error) {
	defer func() { err = errors.Annotatef(err, "%s %s", method, path) }()
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := json.Marshal(input)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, client.Server+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+client.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	conflict := response.StatusCode == http.StatusConflict && json.Valid(data)
	if (response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices) && !conflict {
		return &StatusError{Status: response.StatusCode, Disposition: response.Header.Get("Cowslipway-Disposition"), Body: data}
	}
	if output == nil || len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, output)
}

// Configuration returns the current configuration.
func (client *Client) Configuration(ctx context.Context) (configuration config.Configuration, err error) {
	err = client.call(ctx, http.MethodGet, "/operator/v1/configuration", nil, &configuration)
	return configuration.Indexed(), err
}

// Apply replaces the current configuration. If the response is lost, the same request can be sent again safely.
func (client *Client) Apply(ctx context.Context, request ApplyRequest) (response ApplyResponse, err error) {
	err = client.call(ctx, http.MethodPost, "/operator/v1/configuration", request, &response)
	return response, err
}

// Status returns the processes known to the entry and their configuration versions.
func (client *Client) Status(ctx context.Context) (response StatusResponse, err error) {
	err = client.call(ctx, http.MethodGet, "/operator/v1/status", nil, &response)
	return response, err
}

// Locate returns the runs of the request with id, or the state of the batch job or item with id.
func (client *Client) Locate(ctx context.Context, id string) (response LocateResponse, err error) {
	err = client.call(ctx, http.MethodGet, "/operator/v1/where/"+url.PathEscape(id), nil, &response)
	return response, err
}

// CancelJob cancels a batch job of account.
func (client *Client) CancelJob(ctx context.Context, account, jobID string) (err error) {
	path := fmt.Sprintf("/operator/v1/jobs/%s/%s/cancel", url.PathEscape(account), url.PathEscape(jobID))
	return client.call(ctx, http.MethodPost, path, nil, nil)
}

// SendOrder records order in the store and sends it to the engine of target.
func (client *Client) SendOrder(ctx context.Context, target string, order OrderRequest) (response OrderResponse, err error) {
	err = client.call(ctx, http.MethodPost, "/operator/v1/targets/"+url.PathEscape(target)+"/orders", order, &response)
	return response, err
}

// Drain requests that a target daemon reject new work or, if withdraw is true, withdraws that request. A target daemon that
// has started to drain rejects new work until it is restarted, even if the request is withdrawn.
func (client *Client) Drain(ctx context.Context, daemon string, withdraw bool) (err error) {
	method := http.MethodPost
	if withdraw {
		method = http.MethodDelete
	}
	return client.call(ctx, method, "/operator/v1/daemons/"+url.PathEscape(daemon)+"/drain", nil, nil)
}
