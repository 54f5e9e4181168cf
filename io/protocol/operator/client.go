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
	clientTimeout  = 20 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client asks an entry on behalf of an operator.
type Client struct {
	Server string // base URL of an entry
	Key    string // API key
}

// StatusError is an answer that says that the request was not carried out.
type StatusError struct {
	Status      int
	Disposition string
	Body        []byte
}

// Error returns the status and what the entry says.
func (failure *StatusError) Error() string {
	return fmt.Sprintf("status %d (%s): %s", failure.Status, failure.Disposition, failure.Body)
}

func (client *Client) call(ctx context.Context, method, path string, question, answer any) (err error) {
	defer func() { err = errors.Annotatef(err, "%s %s", method, path) }()
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	body, err := json.Marshal(question)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	conflict := response.StatusCode == http.StatusConflict && json.Valid(data)
	if response.StatusCode >= http.StatusMultipleChoices && !conflict {
		return &StatusError{Status: response.StatusCode, Disposition: response.Header.Get("Cowslipway-Disposition"), Body: data}
	}
	if answer == nil || len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, answer)
}

// Configuration returns the declaration in force.
func (client *Client) Configuration(ctx context.Context) (configuration config.Configuration, err error) {
	err = client.call(ctx, http.MethodGet, "/operator/v1/configuration", nil, &configuration)
	return configuration.Indexed(), err
}

// Apply asks to put a declaration in force; a lost answer is resolved by sending the same request again.
func (client *Client) Apply(ctx context.Context, request ApplyRequest) (answer ApplyResponse, err error) {
	err = client.call(ctx, http.MethodPost, "/operator/v1/configuration", request, &answer)
	return answer, err
}

// Status returns which daemons are on which version.
func (client *Client) Status(ctx context.Context) (answer StatusResponse, err error) {
	err = client.call(ctx, http.MethodGet, "/operator/v1/status", nil, &answer)
	return answer, err
}

// Locate returns where a request, a job or an item ran.
func (client *Client) Locate(ctx context.Context, id string) (answer LocateResponse, err error) {
	err = client.call(ctx, http.MethodGet, "/operator/v1/where/"+url.PathEscape(id), nil, &answer)
	return answer, err
}

// CancelJob cancels a batch job.
func (client *Client) CancelJob(ctx context.Context, account, jobID string) (err error) {
	path := fmt.Sprintf("/operator/v1/jobs/%s/%s/cancel", url.PathEscape(account), url.PathEscape(jobID))
	return client.call(ctx, http.MethodPost, path, nil, nil)
}

// SendOrder gives an order to the engine of target.
func (client *Client) SendOrder(ctx context.Context, target string, order OrderRequest) (answer OrderResponse, err error) {
	err = client.call(ctx, http.MethodPost, "/operator/v1/targets/"+url.PathEscape(target)+"/orders", order, &answer)
	return answer, err
}

// Drain asks a target daemon to take no new work, or with ended to take work again.
func (client *Client) Drain(ctx context.Context, daemon string, ended bool) (err error) {
	method := http.MethodPost
	if ended {
		method = http.MethodDelete
	}
	return client.call(ctx, method, "/operator/v1/daemons/"+url.PathEscape(daemon)+"/drain", nil, nil)
}
