package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	contextBefore = 5 * time.Second // longer than an engine stays ejected after failures
	contextAfter  = time.Second     // a line that shows why a request ended may be logged after the last line with the request's ID
)

// Report holds the log lines about one request, batch item or job.
type Report struct {
	ID      string
	Matches []Line // lines with the ID as request or job, and those of the job of a batch item, in order of time
	Context []Line // lines about the processes and engines of Matches, from contextBefore to contextAfter around them, but about no request or job
	Summary string // how the request, item or job ended, and why
}

// Find returns the report about the request, batch item or job id; ok reports whether any line contains id.
func Find(id string, lines []Line) (report Report, ok bool) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	report.ID = id
	jobs, engines, vms := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Text("request") == id {
			jobs[line.Text("job")] = line.Text("job") != ""
		}
	}
	for _, line := range lines {
		isJobLine := line.Text("request") == "" && jobs[line.Text("job")]
		if line.Text("request") != id && line.Text("job") != id && !isJobLine {
			continue
		}
		report.Matches = append(report.Matches, line)
		vms[line.VM] = true
		engines[line.Text("engine")] = line.Text("engine") != ""
	}
	if len(report.Matches) == 0 {
		return report, false
	}
	begin, end := report.span()
	for _, line := range lines {
		if line.Time.Before(begin.Add(-contextBefore)) || line.Time.After(end.Add(contextAfter)) || line.Text("request") != "" || line.Text("job") != "" {
			continue
		}
		engine := line.Text("engine")
		if engine != "" {
			engine, _, _ = strings.Cut(engine, "/")
		}
		if engines[engine] || vms[line.VM] && engine == "" && line.Text("member") == "" {
			report.Context = append(report.Context, line)
		}
	}
	report.Summary = report.summarize(lines)
	return report, true
}

// span returns the earliest time that Matches show, including the arrival or start that their durations imply, and the time of
// the last line of Matches.
func (report Report) span() (begin, end time.Time) {
	begin = report.Matches[0].Time
	for _, line := range report.Matches {
		for _, name := range []string{"since_arrival", "took"} {
			if elapsed, err := time.ParseDuration(line.Text(name)); err == nil && line.Time.Add(-elapsed).Before(begin) {
				begin = line.Time.Add(-elapsed)
			}
		}
	}
	return begin, report.Matches[len(report.Matches)-1].Time
}

// summarize returns how the request, item or job ended and why.
func (report Report) summarize(lines []Line) string {
	last := report.Matches[len(report.Matches)-1]
	for _, line := range slices.Backward(report.Matches) {
		// These lines don't show how it ended, and may follow the one that does.
		if !slices.Contains([]string{"job swept", "job ended", "engine ended during a request", "engine end learned", "request quarantined", "trial claimed"}, line.Event) {
			last = line
			break
		}
	}
	attempts := []string{}
	for _, line := range report.Matches {
		if line.Event == "attempt" && line.Text("cause") != "" || line.Event == "item run" && line.Text("cause") != "" {
			attempts = append(attempts, fmt.Sprintf("%s (%s)", line.Text("engine"), line.Text("cause")))
		}
	}
	unsuccessful := ""
	if len(attempts) > 0 {
		unsuccessful = "; unsuccessful attempts: " + strings.Join(attempts, ", ")
	}
	switch last.Event {
	case "refused":
		text := fmt.Sprintf("refused with status %s by %s: %s", last.Text("status"), last.VM, last.Text("reason"))
		if last.Text("candidates") != "" {
			text += fmt.Sprintf(" (candidate engines: %s, waiting requests: %s, time waited: %s)", last.Text("candidates"), last.Text("waiting"), last.Text("waited"))
		}
		if last.Text("fingerprint") != "" {
			text += fmt.Sprintf(" (%s engines, until %s, fingerprint %s)", last.Text("ends"), last.Text("until"), last.Text("fingerprint"))
		}
		return text + unsuccessful
	case "broken off":
		return fmt.Sprintf("broken off after %s events: %s%s", last.Text("events"), last.Text("reason"), unsuccessful)
	case "caller gone":
		return fmt.Sprintf("the caller disconnected %s after its request had arrived, with %s events sent%s", last.Text("since_arrival"), last.Text("events"), unsuccessful)
	case "attempt":
		if last.Text("outcome") == "served" || last.Text("outcome") == "failure forwarded" {
			return fmt.Sprintf("%s: engine %s, attempt %s, first event after %s, response complete after %s%s", last.Text("outcome"), last.Text("engine"), last.Text("attempt"),
				last.Text("first"), last.Text("since_arrival"), unsuccessful)
		}
		return "the logs do not show how it ended" + unsuccessful + report.describeRestart(last, lines)
	case "placed":
		return fmt.Sprintf("the logs do not show how it ended: it was last sent to %s by %s%s%s", last.Text("engine"), last.VM, unsuccessful, report.describeRestart(last, lines))
	case "item run":
		return fmt.Sprintf("last run of the item: %s at %s after %s events%s%s", last.Text("verdict"), last.Text("engine"), last.Text("events"), unsuccessful, report.describeRestart(last, lines))
	case "item withheld":
		return fmt.Sprintf("withheld until %s by %s: %s engines ended while they ran it (fingerprint %s)%s", last.Text("until"), last.VM, last.Text("ends"), last.Text("fingerprint"), unsuccessful)
	case "job complete":
		return "the job is complete" + unsuccessful
	case "job dropped":
		return "dropped by " + last.VM + ": " + last.Text("reason") + unsuccessful
	}
	return "last line in the logs: " + last.Event + unsuccessful + report.describeRestart(last, lines)
}

// describeRestart returns a clause about the restart of the process that wrote lastLine, or an empty string if lines show no
// later start of that process.
func (report Report) describeRestart(lastLine Line, lines []Line) string {
	for _, line := range lines {
		if line.VM == lastLine.VM && line.Process == lastLine.Process && line.Event == "started" && line.Time.After(lastLine.Time) {
			return fmt.Sprintf("; %s on %s restarted %s later", line.Process, line.VM, line.Time.Sub(lastLine.Time).Round(time.Millisecond))
		}
	}
	return ""
}

// Write writes the report as text: Matches, marked with *, and Context, in order of time, and then Summary. Of consecutive
// equal lines of Context it writes only the first.
func (report Report) Write(out io.Writer) (err error) {
	begin, _ := report.span()
	all := append(slices.Clone(report.Matches), report.Context...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	text := fmt.Sprintf("%s, from %s on\n", report.ID, begin.Format(time.RFC3339Nano))
	for i, line := range all {
		marker := " "
		if line.Text("request") != "" || line.Text("job") != "" {
			marker = "*"
		}
		if i > 0 && line.Event == all[i-1].Event && marker == " " && line.String() == all[i-1].String() && line.VM == all[i-1].VM {
			continue
		}
		text += fmt.Sprintf("%s %+9.3f s  %-24s %s  %s\n", marker, line.Time.Sub(begin).Seconds(), line.VM, line.Event, line.String())
	}
	_, err = io.WriteString(out, text+"cause: "+report.Summary+"\n")
	return err
}
