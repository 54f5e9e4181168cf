package telemetry

import (
	"fmt"
	"strings"
)

// Event describes one kind of log line.
type Event struct {
	Name   string // message of the line
	Fields string // names of the fields in addition to CommonFields, separated by spaces; a line may omit some of them
	Help   string // meaning of the line, shown in docs/OPERATIONS.md
}

// CommonFields lists the fields that every line may have, separated by spaces.
const CommonFields = "level ts msg process vm failure_domain"

// Events lists the log lines of member processes. ValidateLine checks lines against it.
var Events = []Event{
	{"started", "pid settings", "the process started; it has no state of an earlier incarnation in memory"},
	{"settings read again", "changed settings error", "the settings were read after SIGHUP; changed settings take effect at the next start"},
	{"stopping", "jobs", "SIGTERM was received and graceful shutdown began; jobs is the number of jobs to hand over"},
	{"requests cut by the stop", "error", "requests were still running near the end of the grace period; their connections were closed"},
	{"stopped", "", "the process exits"},
	{"log lines dropped", "count", "the queue of log lines was full because the reader of the log was slow; count is the number of lines dropped"},
	{"placement previewed", "route account outcome view_age", "an operator asked this process where a request would go now; nothing was sent"},
	{"placement preview not sent", "error", "the operator's connection broke during the response"},
	{"metrics not served", "error", "listening on metrics_listen failed, for example because the address is in use, or the metrics server stopped"},

	{"registered", "owner lease leaving", "the member record was written to the store under a lease"},
	{"registration conflicts with a record", "owner lease revision", "the store has another member record of this VM than this process knew, at that revision (0 for none): of an earlier process, or by a write of this one whose response was lost; the write is repeated on condition of that revision"},
	{"not registered yet", "lease error", "the member record could not be written; it is retried"},
	{"member record lost", "lease stored_lease found", "the view of the store lacks the member record of this process, or has it under another lease than the one that is renewed; the process registers again"},
	{"lease ended", "", "the store no longer has the lease of the member record; the process registers again"},
	{"lease could not be ended", "error", "the member record stays in the store until its lease expires"},
	{"store lost", "view_age", "three consecutive store calls failed; view_age is the age of the view of the store"},
	{"store regained", "", "a store call succeeded after `store lost`"},
	{"store access changed", "via_peers", "via_peers is true when store calls are relayed through peers because the store is unreachable from this VM or rejects its calls, and false when direct calls succeed again"},
	{"source of news changed", "peer error view_age", "peer is the member whose change feed this process reads; empty if it reads the store itself"},

	{"completeness of watches changed", "complete items revision store_revision view_age", "watches of the store begin or cease to return all changes: a watch returned items changes up to revision, while the store was at store_revision before it (0 if that could not be read); while they are incomplete the view keeps its age, so that results are read from the store"},
	{"listing started", "error view_age", "this process starts to list all records of the store, because it has just started or because of error"},
	{"listing ended", "prefixes items lost took error view_age", "a listing of all records ended; prefixes and items are the numbers of prefixes and records read, lost that of calls that were repeated, and error is set if it failed"},

	{"configuration in force", "version revision routes accounts", "a newer routing table took effect"},
	{"configuration ignored", "revision error omitted", "the configuration could not be decoded; the previous one stays in force; omitted is the number of such lines that were left out before it"},
	{"engine listed", "engine address service software draining revision", "an engine was added to the list or its record changed"},
	{"engine gone", "engine", "the engine is no longer in the list; it gets no more requests"},
	{"engine's entry ignored", "engine error omitted", "the engine's record could not be decoded; the engine gets no requests; omitted is the number of such lines that were left out before it"},
	{"engine's entry missing after an outage", "engine used_until", "the engine's record expired shortly after a store outage; the engine is used until used_until, since it may only have been unable to renew its record"},
	{"engine says that it leaves", "engine address view_age", "a response of the engine said that it is about to end; this process sends it no further work, whatever the store lists, and the other members prefer other engines"},
	{"engine's limit changed", "engine limit lifted source age", "an engine in need said how many requests a second it takes from all processes together, or no longer says so; source is a response, or the member that knew it"},
	{"engine's limit ignored", "engine request", "a response had a limit that is not a number of at least 0"},
	{"owner of a limit did not respond", "member error", "the member that grants the requests which limited engines take did not respond; this process sends those engines nothing meanwhile"},
	{"a member's ask for tokens could not be read", "error", "a member's message about an engine's limit could not be decoded; it gets no response"},
	{"tokens could not be encoded", "error", "the response to a member's message about an engine's limit could not be encoded; this is a bug"},
	{"engine serves again", "engine", "an engine that answered with errors of its own has served a trial of this process, which tells the others"},
	{"errors of all engines", "service change", "nearly all engines of a service answered with errors within 2 s, so that these are no reason to prefer some (`began`), or no longer (`ended`): look at the requests or at what the engines share"},
	{"engine left", "engine failures until reason", "the engine is ejected after failures and gets no requests before the time in until"},
	{"member connected", "member", "a connection to a peer was established; load counts are exchanged with it"},
	{"member lost", "member error", "the connection to a peer was closed; its load counts are discarded"},
	{"member not reached", "member error omitted", "connecting to a peer failed; the next attempt follows after 500 ms, or later if many can't be reached; omitted is the number of such lines that were left out before it"},
	{"member's record ignored", "member error omitted", "the member record could not be decoded; omitted is the number of such lines that were left out before it"},
	{"counts of a member could not be read", "member error", "a message with load counts could not be decoded and was ignored"},
	{"counts left out of a message", "left omitted", "the load counts did not fit into a datagram; left is the number of entries omitted, and omitted that of such lines that were left out before it"},
	{"engine report", "reachable error", "the engine on this VM became reachable or unreachable for the reporter"},

	{"engine ended during a request", "engine request fingerprint parts events ran reason", "an engine broke off its response after so many events and has ended, which counts against the request; parts are the parts of its prompt that other requests may have too, and reason tells from what the end is known"},
	{"unframed end", "engine request events evidence outcome took error", "a response with neither a length nor chunks ended with its connection after so many events of this run; it counts as complete only if the engine's process has outlived it, and else as broken off. The evidence, found within took, is connection (the engine answered on another connection that it had accepted before) or start time (it named the one that was listed), and otherwise what is missing: none, restarted (another process answered), refused, other connection closed (the process has ended) or no answer"},
	{"engine end learned", "fingerprint part request engine member age reported counted", "an engine's end under a request became known, from the member that saw it or from the store, age after it happened; with part, it counts against all requests with that part of their prompts; counted of the reported ends count towards a quarantine"},
	{"request quarantined", "fingerprint part request engines until", "engines ended under the request, or under requests with part in their prompts, as this process has seen or learned from others; it, or no request with the part, is sent to engines until then, except in trials"},
	{"quarantine lifted", "fingerprint part reason ends", "a quarantined request, or all requests with part in their prompts, may run again; ends is the number of engine ends that no longer count"},
	{"suspicion ignored", "key error omitted", "the record of an engine's end or of a clearance could not be decoded; omitted is the number of such lines that were left out before it"},
	{"suspicions of a member could not be read", "error", "a message about requests under which engines ended could not be decoded and was ignored"},
	{"suspicions could not be encoded", "error", "a message about requests under which engines ended could not be encoded; this is a bug"},
	{"member not told of suspicions", "member error", "telling a peer of requests under which engines ended failed; it reads them from the store, or is told when it connects again"},
	{"suspicions not written yet", "writes error", "writing requests under which engines ended to the store failed; it is retried"},

	{"placed", "request route configuration engine incarnation software begun_by attempt urgent load candidates limited waiting waited view_age work factor usual now speed_age events first since_arrival account key proof_age", "an online request is about to be sent to an engine, in the incarnation that the view names, with this software version; begun_by is the request that began a stream which the caller resumes; urgent to speed_age describe the placement decision; work is the time that the request is expected to take at a usual engine, 0 if that is unknown; factor is how much longer than at a usual engine the work is expected to take, usual the part of it that lasts, now the part due to the engine's VM at this moment, and speed_age the age of the latest of these figures, below 0 if there is none; limited is the number of engines with room whose limits allowed no further request"},
	{"idle timeout expired", "request route configuration engine attempt begun idle received outcome next reason candidates limited waited", "the engine sent nothing for the idle timeout on a stream that another engine may resume, and another engine was sought; begun is whether an event had arrived, idle and received are the times since the last event, or the start, of the attempt and since the engine last sent anything to this process; outcome is moved (to the engine in next), kept (no other engine may be used, for this reason), event arrived or ended (while another engine was sought)"},
	{"attempt", "request route configuration engine attempt outcome verified cause fingerprint events first since_arrival", "an attempt at an engine ended; verified is how it is known that the incarnation received it that the view names, of a stream that goes on: by its report on the connection, or by an earlier one on the same connection; fingerprint identifies the request by its content, whatever its identifier, and is set if the outcome is unknown"},
	{"a member's ask for a token of an account could not be read", "error", "a message could not be decoded and was ignored; the request is refused or goes to another owner of the limit"},
	{"the response to an ask for a token of an account could not be encoded", "error", "this is a bug"},
	{"refused", "request job status retry_after reason incarnation software begun_by urgent load candidates limited waiting waited view_age fingerprint part ends until quota tokens tokens_waiting tokens_allowed account key proof_age owner rate burst usage limit_owner limit_outcome asked unpaid allowance records room error", "a call ended with an error status: it was rejected, or its attempts failed; fingerprint, part, ends and until describe its quarantine, or that of a part of its prompt; account, key and proof_age say whose call it was, with the start of the key's digest and the age of the configuration's proof, and owner whose job it asked for; rate to allowance describe the decision on the limit of the account: usage is what it was granted lately relative to the limit, limit_owner and limit_outcome are the last owner of the limit that was asked, of so many, and its response, unpaid and allowance the requests of this process without a token in the last window and how many there may be; quota and the fields after it describe the decision about a batch job on a route whose waiting tokens are bounded; records and room are the bytes of the records of batch jobs and those for which all members have room, error why the store was not asked whether the job exists"},
	{"resumption", "request begun_by last_event service software evidence proof source asked silent window took view_age outcome", "a caller resumes the stream that the request begun_by began: the software version that began it, and why it is taken for that: evidence is own record or member's record, view or member's view if the service has had no other version, list if no other one is listed now, or none; proof is how long after the arrival the view was current that is the evidence, source the member whose evidence it is, and asked and silent are how many members were asked and did not respond; window is the largest age of the stream; any outcome other than found refuses the request"},
	{"several software versions serve", "service streams", "engines of several software versions are listed from now on; other members are informed of so many streams that began before"},
	{"member not informed of streams", "member streams error", "telling a peer which software versions began streams failed; if this process is lost, callers may not be able to resume them"},
	{"streams read", "streams lines_left_out", "a worker has read the records of streams that its previous process kept; incomplete lines are left out"},
	{"streams not read", "file error", "a file with records of streams could not be read; callers may not be able to resume them"},
	{"streams not written", "error", "records of streams could not be written to the disk; they are kept in memory"},
	{"streams of a member could not be read", "error", "a message about streams could not be decoded and was ignored"},
	{"caller disconnected", "reason held omitted", "a connection of a caller was ended, or refused, although the caller did not close it: no room (others needed its memory, of which it held so many bytes, and it had made the least progress), too slow (callers.progress_bytes in callers.progress_window), idle, stopping (the process stops, and the caller has stopped within a request), or refused (there was no room for the connection); omitted is the number of such lines that were left out before it"},
	{"http server", "error omitted", "an HTTP server for callers or readiness checks reports an error, for example that it cannot accept a connection; omitted is the number of such lines that were left out before it"},
	{"caller gone", "request route configuration engine attempt events first since_arrival", "the caller disconnected before the response was complete"},
	{"broken off", "request route configuration engine attempt events first since_arrival reason", "a response was interrupted after part of it had been sent, and no engine could resume it"},

	{"job accepted", "job items quota tokens tokens_waiting tokens_allowed view_age", "the job was written to the store; the fields from quota on describe the decision on a route whose waiting tokens are bounded"},
	{"no results", "job after known items view_age view_source revision change_age held_back store_asked took outcome", "a call for the results of an unfinished job got none: outcome is an empty page, behind if the view may lack results, or job not found; known is the number of results in the view, held_back the number of chunks of results that wait for an earlier one, revision that of the store up to which changes were received, change_age the time since the last ones, and took the time since the call arrived"},
	{"job claimed", "job owner epoch error", "this worker tried to take over a job whose owner is not live; owner is the former owner, and error is set if the claim failed, for example because another worker claimed the job first"},
	{"job adopted", "job epoch written items begun", "this worker starts to run a job that it owns; written and begun are the numbers of items with a result and with saved progress"},
	{"ownership not verified", "job view_age error", "the view is too old to show whether the job is still to be run here, and its ownership record could not be read; the job goes on"},
	{"job dropped", "job reason", "this worker no longer runs the job"},
	{"job handed over", "job", "the ownership of a job was transferred to another worker"},
	{"job not handed over; it goes to another worker when the lease ends", "job error", "the transfer failed, for example because the store did not respond in time"},
	{"job complete", "job", "all results were written to the store"},
	{"job ended", "job", "the caller cancelled the job; its items are no longer run"},
	{"job swept", "job chunks", "the records of an expired job were deleted"},
	{"job not swept yet", "job error", "deleting the records of an expired job failed; it is retried"},
	{"suspicions not swept yet", "records error", "removing records of engine ends that no longer count failed; it is retried"},
	{"item stopped", "job request engine urgency ran work pause due of", "a run of a batch item is stopped to free its slot; urgency is how it stands against its due time, work what was expected of it when it started, pause how long stopped items wait lately, of the runs among which it was chosen"},
	{"item run", "job request engine verdict events took cause fingerprint", "one run of a batch item ended; fingerprint identifies the item by its content and is set if the run was interrupted"},
	{"item starts anew", "job request events service software reason", "the events that an item has so far are discarded, since its output cannot go on at the software version that began it"},
	{"item withheld", "job request fingerprint part ends until abandoned", "engines ended under the item; it does not run until then, or is given up if abandoned is set"},
	{"trial claimed", "request fingerprint part ends error", "this process tried to claim the run of a quarantined request or item that is due after so many engine ends; error is set if that failed, for example because another process runs it"},
	{"item given up: its job has no route", "job request revision configuration configuration_revision", "no route matches the job; the result of the item is an error"},
	{"item given up: it is no valid request", "job request error", "the recorded item can't be sent as one request of HTTP/1.1; its result is an error"},
	{"job waits for its route", "job revision configuration configuration_revision", "no route matches the job, but the configuration may be older than the job"},
	{"item given up: its service has no engine", "request", "the time of the item's job is over, and no engine of its service takes requests; its result is an error"},
	{"results not written yet", "writes error", "writing results failed; the same write is retried"},
	{"results refused", "key bytes writes error", "the store refuses the results under the key for what they hold, which have so many bytes, in a transaction with so many writes; those of each job are written alone then, and after a refusal of these only now and then"},
	{"results could not be encoded", "error", "results could not be encoded for the store; this is a bug"},
	{"counter ignored", "key error omitted", "the record with the tokens that were accepted on a route could not be decoded; omitted is the number of such lines that were left out before it"},
	{"batch record ignored", "key error omitted", "the record could not be decoded; omitted is the number of such lines that were left out before it"},
	{"progress read", "jobs lines_left_out", "the saved progress of items was read from the disk; lines_left_out is the number of lines that could not be decoded"},
	{"progress not read", "file error", "a file with saved progress could not be read from the disk"},
	{"progress not written", "error", "writing progress to the disk failed; if this process fails, items are retried from the start"},
	{"progress left out: the disk is slow", "", "the queue of progress to be written was full; logged only the first time"},
	{"progress of a job not read; its items start anew", "job error", "the progress written by the former owner could not be read from the store; items are retried from the start"},
	{"retiring", "", "the operator retires this VM; its jobs are handed over"},
	{"retired", "retired_vm", "the VM retired_vm is reported to the operator as retired: nothing on it has to be kept"},
	{"retirement not reported yet", "retired_vm error", "writing the retirement status to the store failed; it is retried"},
	{"retirement not reported", "retired_vm error", "the store refuses the record that this VM is empty, for example because its name is too long; it is not written again"},
}

// EventsTable returns Events as a Markdown table.
func EventsTable() (table string) {
	table = "| line | meaning | fields |\n|---|---|---|\n"
	for _, event := range Events {
		table += fmt.Sprintf("| `%s` | %s | %s |\n", event.Name, event.Help, strings.ReplaceAll(event.Fields, " ", ", "))
	}
	return table
}

// ValidateLine checks that Events lists the message of a line and each of its fields. It returns the first problem, or an empty
// string if the line is valid.
func ValidateLine(message string, fields []string) (problem string) {
	for _, event := range Events {
		if event.Name != message {
			continue
		}
		known := " " + CommonFields + " " + event.Fields + " "
		for _, field := range fields {
			if !strings.Contains(known, " "+field+" ") {
				return fmt.Sprintf("event %q has no registered field %q", message, field)
			}
		}
		return ""
	}
	return fmt.Sprintf("event %q is not registered", message)
}
