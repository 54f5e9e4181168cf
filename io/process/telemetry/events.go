package telemetry

import (
	"fmt"
	"strings"
)

// Event is a kind of log line. Its name is the line's message.
type Event struct {
	Name   string
	Fields string // separated by spaces, beside those of EveryLine; a line may leave out what does not apply
	Help   string
}

// EveryLine are the fields of all lines.
const EveryLine = "level ts msg process vm failure_domain"

// Events is the registry of the log lines of member processes.
var Events = []Event{
	{"started", "pid settings", "the process began; nothing of a former life is in memory"},
	{"settings read again", "changed settings error", "SIGHUP; what a running process can't change takes effect at its next start"},
	{"stopping", "jobs", "SIGTERM; no new work is taken"},
	{"requests cut by the stop", "error", "the grace period ended before they did"},
	{"stopped", "", "the process ends"},
	{"log lines dropped", "count", "the log's reader was slow; the process did not wait for it"},
	{"metrics not served", "error", "the address is taken, or was lost"},

	{"registered", "owner lease leaving", "the process's record is in the store"},
	{"lease ended", "", "the store has forgotten the process; it registers again"},
	{"lease could not be ended", "error", "the others learn of the stop when it runs out"},
	{"store lost", "view_age", "three calls in a row failed; the view is as old as view_age"},
	{"store regained", "", "a call succeeded again"},
	{"store access changed", "via_peers", "the store turns this VM away, and peers make its calls; or no longer"},
	{"source of news changed", "peer error view_age", "who reads the store for this process; no peer: itself"},

	{"configuration in force", "version revision routes", "a newer routing table"},
	{"configuration ignored", "revision error", "it can't be read; the former one stays in force"},
	{"engine listed", "engine address service draining revision", "new, or changed"},
	{"engine gone", "engine", "it has no entry any more and gets no work"},
	{"engine's entry ignored", "engine error", "it can't be read; the engine gets no work"},
	{"engine's entry missing after an outage", "engine used_until", "it may only not have renewed it yet"},
	{"engine left", "engine failures until reason", "it did not answer as it should and gets no work for a while"},
	{"member connected", "member", "a peer whose counts are heard from now on"},
	{"member lost", "member error", "its counts are forgotten"},
	{"member not reached", "member error", "dialled again in half a second"},
	{"member's record ignored", "member error", "it can't be read"},
	{"counts of a member could not be read", "member error", "the message is left out"},
	{"counts left out of a message", "left", "more engines are in use than fit a datagram"},
	{"engine report", "reachable error", "the engine on this VM answers, or no longer"},

	{"placed", "request route configuration engine attempt urgent load candidates waiting waited view_age events first since_arrival", "an online request is sent to an engine; what the choice was made from"},
	{"attempt", "request route configuration engine attempt outcome cause events first since_arrival", "how that ended"},
	{"refused", "request job status retry_after reason urgent load candidates waiting waited view_age", "a call was not carried out, or ended without an answer"},
	{"caller gone", "request route configuration engine attempt events first since_arrival", "the caller left before the answer was whole"},
	{"broken off", "request route configuration engine attempt events first since_arrival reason", "a stream ended midway, and no engine may go on with it"},

	{"job accepted", "job items", "it is in the store"},
	{"job claimed", "job owner epoch error", "this worker took over a job without a live owner, or another one was faster"},
	{"job adopted", "job epoch written items begun", "this worker runs it from what is written and begun"},
	{"job dropped", "job reason", "this worker runs it no more"},
	{"job handed over", "job", "a stopping worker left it to the others"},
	{"job not handed over; it goes to another worker when the lease ends", "job error", "the store did not answer in time"},
	{"job complete", "job", "all results are written"},
	{"job ended", "job", "its caller ended it; its items run no more"},
	{"job swept", "job chunks", "its records are gone"},
	{"job not swept yet", "job error", "tried again later"},
	{"item run", "job request engine verdict events took cause", "a run of a batch item ended"},
	{"item given up: it has no route", "job request configuration", "its result says so"},
	{"results not written yet", "writes error", "the same write is sent again"},
	{"results could not be encoded", "error", "a fault of the program"},
	{"batch record ignored", "key error", "it can't be read"},
	{"progress read", "jobs lines_left_out", "what the disk knew of begun items"},
	{"progress not read", "file error", "a file on the disk is lost"},
	{"progress not written", "error", "the disk failed; begun items would start anew after a loss of this process"},
	{"progress left out: the disk is slow", "", "said once"},
	{"progress of a job not read; its items start anew", "job error", "the store did not tell what the former owner had left"},
	{"retiring", "", "this VM is to be emptied"},
	{"retired", "retired_vm", "it holds nothing any more"},
	{"retirement not reported yet", "retired_vm error", "tried again"},
}

// EventsTable returns the registry as a table in Markdown.
func EventsTable() (table string) {
	table = "| line | meaning | fields |\n|---|---|---|\n"
	for _, event := range Events {
		table += fmt.Sprintf("| `%s` | %s | %s |\n", event.Name, event.Help, strings.ReplaceAll(event.Fields, " ", ", "))
	}
	return table
}

// ValidateLine returns what the registry does not know about a line with a message and fields; empty where it knows all.
func ValidateLine(message string, fields []string) (mistake string) {
	for _, event := range Events {
		if event.Name != message {
			continue
		}
		known := " " + EveryLine + " " + event.Fields + " "
		for _, field := range fields {
			if !strings.Contains(known, " "+field+" ") {
				return fmt.Sprintf("event %q has no field %q", message, field)
			}
		}
		return ""
	}
	return fmt.Sprintf("no event %q", message)
}
