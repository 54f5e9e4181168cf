package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cowslipway/core/coordination/jobrunner"
	"cowslipway/core/coordination/placement"
	"cowslipway/core/state/fleet"
	"cowslipway/core/state/routes"
	"cowslipway/io/process/preview"
	"cowslipway/io/process/telemetry"
)

// servePreview answers an operator who asks where a request or a batch item would go now. Nothing is sent, and no slot, token or
// admission is taken.
func (node *Node) servePreview(writer http.ResponseWriter, request *http.Request) {
	question, err := preview.ParseQuestion(request.URL.Query())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	report := node.preview(time.Now(), question)
	node.Log.Info("placement previewed", zap.String("route", report.Route), zap.String("account", question.Account), zap.String("outcome", report.Outcome), zap.Duration("view_age", report.ViewAge))
	writer.Header().Set("Content-Type", "application/json")
	if err = json.NewEncoder(writer).Encode(report); err != nil {
		node.Log.Info("placement preview not sent", telemetry.Err(err))
	}
}

// preview returns how this process would handle a request now.
func (node *Node) preview(now time.Time, question preview.Question) (report preview.Report) {
	report = preview.Report{Member: fmt.Sprintf("%s on %s", node.Role, node.Settings.Name), ViewAge: node.ViewAge(), Engines: []preview.Engine{}}
	table := node.Table()
	if table == nil {
		report.Outcome = "rejected with status 503: the configuration is not known yet"
		return report
	}
	report.Configuration = table.Version
	route, matched := table.Match(question.Host, question.Path)
	account, known := node.accountLimits.configured(question.Account)
	switch {
	case len(table.Accounts) > 0 && !known && (!matched || !route.Public):
		report.Outcome = fmt.Sprintf("rejected with status 401: there is no account %q", question.Account)
		return report
	case !matched:
		report.Outcome = "rejected with status 404: no route matches"
		return report
	}
	report.Route, report.Service = route.Name, route.SelectService(question.RequestID)
	request := placement.Request{Service: report.Service, Domain: node.Settings.FailureDomain, Priority: route.Priority, Repeatable: route.Retryable()}
	if known {
		report.AccountRate, report.AccountBurst, report.AccountPriority = account.Rate, account.Burst, account.Priority
		request.Account, request.Weight, request.Priority = account.Name, account.Rate, account.Priority
	}
	node.placementMutex.Lock()
	work, output := node.pool.ExpectWork(now, route.Name, question.OutputTokens, 0)
	node.placementMutex.Unlock()
	request.Work, report.ExpectedWork, report.ExpectedEvents = work, work, output.Mean
	if route.Kind == routes.Batch {
		return node.previewItem(now, report, route, question, request)
	}
	request.Deadline = now.Add(route.TargetLatency)
	node.placementMutex.Lock()
	shown := node.pool.PreviewOnline(now, request)
	node.placementMutex.Unlock()
	switch {
	case shown.Admitted:
		report.Outcome = "sent to an engine at once"
	case shown.Queued:
		report.Outcome = "waits for a slot"
	default:
		report.Outcome = fmt.Sprintf("rejected with status 503, to be retried after %s: no slot in time", shown.RetryAfter.Round(time.Millisecond))
	}
	if report.AccountRate > 0 {
		report.Outcome += ", if the limit of the account allows it"
	}
	return withPlacement(report, shown)
}

// previewItem returns how a batch item would be placed, or a job that is submitted here.
func (node *Node) previewItem(now time.Time, report preview.Report, route routes.Route, question preview.Question, request placement.Request) preview.Report {
	if route.BatchTarget > 0 {
		request.Due = now.Add(route.BatchTarget)
	}
	node.placementMutex.Lock()
	shown := node.pool.PreviewBatch(now, request)
	node.placementMutex.Unlock()
	report.Outcome = "an item waits until online requests leave a slot"
	if shown.Admitted {
		report.Outcome = "an item is sent to an engine at once"
	}
	if node.Role == fleet.IngressRole {
		report.JobOwner = jobrunner.PreferredOwner(question.RequestID, node.Members(fleet.WorkerRole))
	}
	return withPlacement(report, shown)
}

// withPlacement returns report with what the placement goes by.
func withPlacement(report preview.Report, shown placement.Preview) preview.Report {
	report.Waiting, report.EstimatedWait, report.DecidedByTime = shown.Waiting, shown.Wait, shown.Uneven
	for _, prospect := range shown.Engines {
		report.Engines = append(report.Engines, preview.Engine{
			ID: prospect.Engine.ID, Address: prospect.Engine.Address, FailureDomain: prospect.Engine.FailureDomain, Share: prospect.Share, Obstacle: prospect.Obstacle,
			Slots: prospect.Engine.Slots, Load: prospect.Load, Batch: prospect.Batch, Unaccounted: prospect.Unaccounted, ReportedLoad: prospect.ReportedLoad, ReportAge: prospect.ReportAge,
			Factor: prospect.Belief.Factor, Usual: prospect.Belief.Usual, Now: prospect.Belief.Now, SpeedAge: prospect.Belief.Age, Failures: prospect.Failures,
		})
	}
	return report
}
