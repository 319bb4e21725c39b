package explainer

import "bytes"

// The events are one table, so that the page for operators, the verb that reads
// logs and the programs can't disagree.

// Level says how much an event matters.
type Level string

// The levels.
const (
	LevelError Level = "error"
	LevelInfo  Level = "info"
	// LevelDetail is written with --log-verbosity 1 only.
	LevelDetail Level = "detail"
)

// Scope is what an event tells of.
type Scope string

// The scopes.
const (
	ScopeRequest Scope = "request"
	// ScopeJob is of a batch job or one of its items.
	ScopeJob    Scope = "job"
	ScopeTarget Scope = "target"
	// ScopeHost is of the host itself or of what it reaches.
	ScopeHost Scope = "host"
)

// Event is one kind of line in the log of the program platform.
type Event struct {
	Name  string
	Level Level
	Scope Scope
	// Fields are the line's fields, in their order.
	Fields  []string
	Meaning string
	// Action is what to do, if there is anything.
	Action string
}

// routines are parts of the lines of work that went well: most of all lines.
var routines = [][]byte{
	[]byte(`] "item placed" `), []byte(`] "item done" `), []byte(`] "batch job known" `),
	[]byte(` status=200 `), []byte(` status=202 `),
}

// IsRoutine says whether a line tells of work that went well.
func IsRoutine(line []byte) bool {
	for _, r := range routines {
		if bytes.Contains(line, r) {
			return true
		}
	}
	return false
}

// EventByName returns the event of that name.
func EventByName(name string) (e Event, ok bool) {
	for _, e := range Events {
		if e.Name == name {
			return e, true
		}
	}
	return e, false
}

// Events has every event, by name.
var Events = []Event{
	{
		Name: "answer of a target dropped", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "target", "err"},
		Meaning: "an answer belonged to another request, or had no signature, or was encoded",
		Action:  "see `target`; repeated: the target is faulty",
	},
	{
		Name: "answer to a peer not sent", Level: LevelDetail, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "the link to an entry that had asked failed",
	},
	{
		Name: "attempt failed", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "target", "again", "err", "status"},
		Meaning: "one target's failure; `again` says whether another is asked",
	},
	{
		Name: "batch job can't be encoded", Level: LevelError, Scope: ScopeJob,
		Fields:  []string{"job"},
		Meaning: "a fault of the program",
		Action:  "report it",
	},
	{
		Name: "batch job given up", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "age", "routed", "left"},
		Meaning: "its time is over, or its route is gone (`routed=false`)",
	},
	{
		Name: "batch job known", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "items", "model", "oldest-version", "offset"},
		Meaning: "this entry's copy has the job",
	},
	{
		Name: "break not shared", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"fingerprint", "target", "err"},
		Meaning: "the store couldn't be written, or was busy",
	},
	{
		Name: "callers' connections not closed in order", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "a listener failed to close at a stop",
	},
	{
		Name: "configuration in force", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"version", "offset", "routes"},
		Meaning: "requests are handled by this version from here on",
	},
	{
		Name: "direct way to the store lost", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"peers", "err"},
		Meaning: "the store can't be reached from here; `peers` may help",
		Action:  "if on one host only: its path to the store",
	},
	{
		Name: "direct way to the store works again", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"after"},
		Meaning: "after `after`",
	},
	{
		Name: "entry of a target lapsed around an outage of the store", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "offset", "kept-for"},
		Meaning: "it is kept for `kept-for`",
	},
	{
		Name: "group left, others do its work", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"members", "wanted"},
		Meaning: "enough other entries work on jobs",
	},
	{
		Name: "group not joined", Level: LevelDetail, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "the store didn't answer",
	},
	{
		Name: "group not left, the store will notice by itself", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "at a stop",
	},
	{
		Name: "history has expired, reading the whole partition", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "offset"},
		Meaning: "this entry was away for longer than the store's history",
	},
	{
		Name: "item done", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "state", "events", "expected-tokens", "versions", "job-age"},
		Meaning: "its text is whole and scored, or it failed; `job-age` is since acceptance",
	},
	{
		Name: "item given up", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "status", "failures"},
		Meaning: "it failed as often as its route allows",
		Action:  "see `status`",
	},
	{
		Name: "item goes on elsewhere", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "target", "after", "cause"},
		Meaning: "`cause` says why it left `target` after event `after`",
		Action:  "many with one target: that target",
	},
	{
		Name: "item placed", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "target", "after", "waited", "candidates", "in-flight", "slowness"},
		Meaning: "a target with a free slot took it; `waited` is since it was ready",
		Action:  "long waits: too few targets have the weights, see `load ordered`",
	},
	{
		Name: "item starts anew, its version is gone", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "version", "after"},
		Meaning: "a text must have one version, and no target has it any more",
	},
	{
		Name: "item waits at a full engine", Level: LevelDetail, Scope: ScopeJob,
		Fields:  []string{"job", "item", "target", "for"},
		Meaning: "`target` goes on with others, and no other target has room",
	},
	{
		Name: "items handed over", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "count", "left", "took"},
		Meaning: "another entry works on the job now and goes on with its texts; `left` runs didn't stop in time",
	},
	{
		Name: "lease can't be encoded", Level: LevelError, Scope: ScopeHost,
		Meaning: "a fault of the program",
		Action:  "report it",
	},
	{
		Name: "lease changes hands", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"lease", "holder", "token", "offset"},
		Meaning: "`holder` may order loads; empty if it was given back",
		Action:  "often: the holder's host loses the store",
	},
	{
		Name: "lease not written", Level: LevelDetail, Scope: ScopeHost,
		Fields:  []string{"lease", "err"},
		Meaning: "a renewal failed",
	},
	{
		Name: "links of other entries are not taken any more", Level: LevelError, Scope: ScopeHost,
		Meaning: "the peers' listener failed",
		Action:  "replace the process",
	},
	{
		Name: "load not accepted", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "model", "version", "err"},
		Meaning: "the order had no effect, or no answer",
		Action:  "`it runs N requests`: an idle target is preferred for 2 s",
	},
	{
		Name: "load ordered", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "model", "version", "before", "token", "orders-accepted", "err"},
		Meaning: "with the token of the lease and the orders that the target had accepted",
	},
	{
		Name: "old breaks not dropped yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "tried again later",
	},
	{
		Name: "owner of a batch job doesn't answer, the store is asked", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "verb", "owner", "err"},
		Meaning: "the entry that works on the job is gone or silent",
	},
	{
		Name: "owners of batch jobs not read", Level: LevelDetail, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "the store didn't answer",
	},
	{
		Name: "partitions of batch jobs dealt", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"generation", "partitions"},
		Meaning: "this entry works on the jobs of `partitions` from now on",
	},
	{
		Name: "program can't start", Level: LevelError, Scope: ScopeHost,
		Meaning: "a fault of the program",
		Action:  "report it",
	},
	{
		Name: "program ends by a fault", Level: LevelError, Scope: ScopeHost,
		Meaning: "a listener couldn't be opened or ended",
		Action:  "see the error",
	},
	{
		Name: "request answered", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "method", "route", "path", "status", "target", "why", "took", "configuration"},
		Meaning: "one for each request: route, status, target, why, time, configuration",
	},
	{
		Name: "request convicted, targets break off under it", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"fingerprint", "targets", "offset"},
		Meaning: "it is refused at every host for 5 minutes",
		Action:  "find its caller",
	},
	{
		Name: "requests broken off", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"count", "err"},
		Meaning: "the time to stop was over",
	},
	{
		Name: "result can't be encoded", Level: LevelError, Scope: ScopeJob,
		Fields:  []string{"job", "item"},
		Meaning: "a fault of the program",
		Action:  "report it",
	},
	{
		Name: "results wait for the store", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"count", "err"},
		Meaning: "`count` results couldn't be written yet",
	},
	{
		Name: "scorer failed", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "scorer", "status", "failures"},
		Meaning: "a scorer answered with a failure",
	},
	{
		Name: "second signal, giving up what is left", Level: LevelInfo, Scope: ScopeHost,
		Meaning: "what is under way is broken off",
	},
	{
		Name: "second target asked, the first is silent", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "service"},
		Meaning: "a call that may be repeated was hedged",
	},
	{
		Name: "settings file has changed, nothing under way is touched", Level: LevelInfo, Scope: ScopeHost,
		Meaning: "SIGHUP",
	},
	{
		Name: "settled batch jobs not dropped yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "err"},
		Meaning: "tried again in 15 s",
	},
	{
		Name: "started", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"program", "version", "host", "zone", "incarnation"},
		Meaning: "with version, host, zone and incarnation",
	},
	{
		Name: "stopped", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"program"},
		Meaning: "a wanted end",
	},
	{
		Name: "stopping", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"signal"},
		Meaning: "a signal to stop came; no new connections from here on",
	},
	{
		Name: "store answers again", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "offset"},
		Meaning: "after `store lost`",
	},
	{
		Name: "store lost", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "offset", "err"},
		Meaning: "a partition can't be read; once until it can",
	},
	{
		Name: "store reached through a peer", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"peer"},
		Meaning: "`peer` makes this host's calls",
	},
	{
		Name: "stream goes on at another target", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "target", "after", "cause"},
		Meaning: "a resumable stream broke off after event `after`",
	},
	{
		Name: "target gone", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "offset"},
		Meaning: "its entry is gone",
	},
	{
		Name: "target gone, its entry isn't back", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target"},
		Meaning: "it lapsed in an outage and isn't back in time",
	},
	{
		Name: "target listed", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "service", "address", "state", "offset"},
		Meaning: "new, restarted or in another state",
	},
	{
		Name: "text of another run found", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "used", "after", "whole", "versions", "oldest-version"},
		Meaning: "an item that came again, or was taken over, goes on after event `after` or is whole; `used=false`: its versions are too old, or its prompt has changed",
	},
	{
		Name: "the host's clock can't be read", Level: LevelError, Scope: ScopeHost,
		Meaning: "the process ends: no lease can be trusted",
		Action:  "replace the host",
	},
	{
		Name: "part of a text can't be encoded", Level: LevelError, Scope: ScopeJob,
		Fields:  []string{"job", "item"},
		Meaning: "the part isn't kept; the item begins anew if its owner is lost",
	},
	{
		Name: "record left out after an unexpected error", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "the line before has the error; other records are taken",
		Action:  "report it with that line's stack",
	},
	{
		Name: "third signal, ending at once", Level: LevelInfo, Scope: ScopeHost,
		Meaning: "nothing more is waited for",
	},
	{
		Name: "unexpected error in a task", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"task", "stack"},
		Meaning: "that task ended, or begins again; everything else goes on",
		Action:  "report it with its stack",
	},
	{
		Name: "unexpected message of a peer, link closed", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"message"},
		Meaning: "another program speaks to the peers' listener",
	},
	{
		Name: "unreadable batch job left out", Level: LevelError, Scope: ScopeJob,
		Fields:  []string{"job", "offset"},
		Meaning: "the store has bytes that this version can't read",
	},
	{
		Name: "unreadable break left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "the store has bytes that this version can't read",
	},
	{
		Name: "unreadable entry of a target left out", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "offset", "err"},
		Meaning: "it names no target",
		Action:  "its writer",
	},
	{
		Name: "unreadable lease", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "counts as given back",
	},
	{
		Name: "unreadable part of a text left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"key", "offset", "err"},
		Meaning: "the item begins anew if its owner is lost",
	},
	{
		Name: "unreadable record of the operator left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"key", "offset", "err"},
		Meaning: "what was in force stays",
		Action:  "its writer",
	},
	{
		Name: "unreadable result left out", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "the store has bytes that this version can't read",
	},
	{
		Name: "weights loaded", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "model", "version", "after"},
		Meaning: "`after` is since the order",
	},
	{
		Name: "weights named", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"model", "version", "offset"},
		Meaning: "a trainer has named a version",
	},
}
