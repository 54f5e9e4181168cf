package preview

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

const (
	// Path is the path of the call at the address of a member's metrics.
	Path = "/preview"

	callTimeout      = 5 * time.Second // a member answers in milliseconds
	maxResponseBytes = 4 << 20         // a thousand engines take 300 KB
)

// Question names the request that a member is asked about.
type Question struct {
	Host         string // of the request; selects the route together with Path
	Path         string
	RequestID    string // selects the service if the route has several; empty stands for any request
	Account      string // client account; empty for none
	OutputTokens int    // largest output that the request declares; 0 if it declares none
}

// Report is the answer of a member.
type Report struct {
	Member          string        `json:"member"`
	Outcome         string        `json:"outcome"` // what would happen to the request, and why
	Configuration   int64         `json:"configuration"`
	ViewAge         time.Duration `json:"view_age_ns"` // of the list of engines and the configuration
	Route           string        `json:"route,omitempty"`
	Service         string        `json:"service,omitempty"`
	JobOwner        string        `json:"job_owner,omitempty"` // worker that would own a batch job; the engines are those that this member knows of
	ExpectedEvents  float64       `json:"expected_events,omitempty"`
	ExpectedWork    time.Duration `json:"expected_work_ns,omitempty"` // at a usual engine
	Waiting         int           `json:"waiting"`
	EstimatedWait   time.Duration `json:"estimated_wait_ns"`
	DecidedByTime   bool          `json:"decided_by_time"` // engines differ in speed; otherwise the number of requests decides
	AccountRate     float64       `json:"account_rate,omitempty"`
	AccountBurst    float64       `json:"account_burst,omitempty"`
	AccountPriority int           `json:"account_priority,omitempty"`
	Engines         []Engine      `json:"engines"`
}

// Engine is what a member goes by for one engine.
type Engine struct {
	ID            string        `json:"id"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Share         float64       `json:"share"`              // of such requests that would go there, 0 to 1
	Obstacle      string        `json:"obstacle,omitempty"` // why it would not be chosen
	Slots         int           `json:"slots"`
	Load          int           `json:"load"`
	Batch         int           `json:"batch"`
	Unaccounted   int           `json:"unaccounted"`
	ReportedLoad  int           `json:"reported_load"`
	ReportAge     time.Duration `json:"report_age_ns"` // negative if the engine has reported nothing
	Factor        float64       `json:"factor"`        // by which work takes longer than at a usual engine
	Usual         float64       `json:"usual"`
	Now           float64       `json:"now"`
	SpeedAge      time.Duration `json:"speed_age_ns"` // negative if nothing was observed
	Failures      int           `json:"failures"`
}

// Query returns question as the query of the call.
func (question Question) Query() (query url.Values) {
	return url.Values{
		"host": {question.Host}, "path": {question.Path}, "request": {question.RequestID}, "account": {question.Account},
		"output_tokens": {strconv.Itoa(question.OutputTokens)},
	}
}

// ParseQuestion returns the question in the query of a call.
func ParseQuestion(query url.Values) (question Question, err error) {
	question = Question{Host: query.Get("host"), Path: query.Get("path"), RequestID: query.Get("request"), Account: query.Get("account")}
	if question.Host == "" || !strings.HasPrefix(question.Path, "/") {
		return question, errors.New("host and path are required; path begins with a slash")
	}
	if text := query.Get("output_tokens"); text != "" {
		if question.OutputTokens, err = strconv.Atoi(text); err != nil || question.OutputTokens < 0 {
			return question, errors.Errorf("output_tokens: %q is not a number of tokens", text)
		}
	}
	return question, nil
}

// Fetch asks the member whose metrics are served at address.
func Fetch(ctx context.Context, address string, question Question) (report Report, err error) {
	defer func() { err = errors.Annotatef(err, "asking the member at %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	location := url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: question.Query().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, location.String(), nil)
	if err != nil {
		return report, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return report, err
	}
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("HTTP status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	return report, json.Unmarshal(body, &report)
}

// Write writes the report as text.
func (report Report) Write(out io.Writer) (err error) {
	defer func() { err = errors.Annotate(err, "writing the report") }()
	rule := "the number of requests at the engines"
	if report.DecidedByTime {
		rule = "the time that the request would take"
	}
	if _, err = fmt.Fprintf(out, "%s\n%s, configuration %d, view %s old\nroute %q, service %q, decided by %s\n", report.Outcome, report.Member, report.Configuration,
		milliseconds(report.ViewAge), report.Route, report.Service, rule); err != nil {
		return err
	}
	if report.JobOwner != "" {
		_, err = fmt.Fprintf(out, "a batch job goes to %s, which places each item by what it knows of the engines\n", report.JobOwner)
	} else {
		_, err = fmt.Fprintf(out, "waiting here: %d, estimated wait of one more: %s\n", report.Waiting, milliseconds(report.EstimatedWait))
	}
	if err != nil {
		return err
	}
	if report.ExpectedWork > 0 {
		if _, err = fmt.Fprintf(out, "expected: %.0f events, %s at a usual engine\n", report.ExpectedEvents, milliseconds(report.ExpectedWork)); err != nil {
			return err
		}
	}
	if report.AccountRate > 0 {
		if _, err = fmt.Fprintf(out, "account: priority %d, limit %g requests a second and a burst of %g over all members\n", report.AccountPriority, report.AccountRate, report.AccountBurst); err != nil {
			return err
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "engine\tdomain\tshare\tload\titems\tunaccounted\treported\tage\tfactor\tusual\tnow\tage\tfailures\t")
	for _, engine := range report.Engines {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f %%\t%d of %d\t%d\t%d\t%d\t%s\t%.2f\t%.2f\t%.2f\t%s\t%d\t%s\n", engine.ID, engine.FailureDomain, engine.Share*100, engine.Load, engine.Slots,
			engine.Batch, engine.Unaccounted, engine.ReportedLoad, milliseconds(engine.ReportAge), engine.Factor, engine.Usual, engine.Now, milliseconds(engine.SpeedAge), engine.Failures, engine.Obstacle)
	}
	return table.Flush()
}

// milliseconds returns a duration rounded to milliseconds as text, or "never" if it is negative.
func milliseconds(duration time.Duration) string {
	if duration < 0 {
		return "never"
	}
	return duration.Round(time.Millisecond).String()
}
