package explainer

import "bytes"

// All log events are defined in one table, so that the documentation for
// operators, ladderctl and the programs cannot disagree.

// Level is the severity of an event.
type Level string

// The levels.
const (
	LevelError Level = "error"
	LevelInfo  Level = "info"
	// LevelDetail is logged only with --log-verbosity 1 or higher.
	LevelDetail Level = "detail"
)

// Scope is what an event is about.
type Scope string

// The scopes.
const (
	ScopeRequest Scope = "request"
	// ScopeJob is a batch job or one of its items.
	ScopeJob    Scope = "job"
	ScopeTarget Scope = "target"
	// ScopeHost is the host itself or its connections.
	ScopeHost Scope = "host"
)

// Event describes one kind of log line of the program platform.
type Event struct {
	Name  string
	Level Level
	Scope Scope
	// Fields are the fields of the line, in order.
	Fields  []string
	Meaning string
	// Action is what the operator should do, if anything.
	Action string
}

// routineFragments identify the log lines about successful work, which are
// most of all lines.
var routineFragments = [][]byte{
	[]byte(`] "item placed" `), []byte(`] "item done" `), []byte(`] "batch job known" `),
	[]byte(` status=200 `), []byte(` status=202 `),
}

// IsRoutine reports whether a line is about successful work.
func IsRoutine(line []byte) bool {
	for _, r := range routineFragments {
		if bytes.Contains(line, r) {
			return true
		}
	}
	return false
}

// EventByName returns the event with that name.
func EventByName(name string) (e Event, ok bool) {
	for _, e := range Events {
		if e.Name == name {
			return e, true
		}
	}
	return e, false
}

// Events lists all events of the program platform.
var Events = []Event{
	{
		Name: "admission begins", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"service", "cause", "limit", "in-flight", "hosts"},
		Meaning: "a target of the service has refused a request for want of room or reports more waiting requests than places; requests wait here from now on so that at most `limit` are in flight",
		Action:  "if this recurs, the service needs more targets",
	},
	{
		Name: "admission ends", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"service", "limit", "in-flight"},
		Meaning: "the targets of the service have had enough room for 2 s, and no request waits here",
	},
	{
		Name: "answer of a target dropped", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "target", "err"},
		Meaning: "the response belonged to another request, had no signature, had a content encoding, or was a failure or refusal that may be cut",
		Action:  "check `target`; if this recurs, the target is faulty",
	},
	{
		Name: "answer to a peer is too large, an empty one is sent", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "the peer reads the store instead",
	},
	{
		Name: "answer to a peer not sent", Level: LevelDetail, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "the link to the entry that sent the request failed",
	},
	{
		Name: "attempt failed", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "target", "again", "err", "status"},
		Meaning: "one target failed; `again` says whether another target is tried",
	},
	{
		Name: "batch job can't be read, its records are kept", Level: LevelError, Scope: ScopeJob,
		Fields:  []string{"job", "offset"},
		Meaning: "the store contains data that this version cannot decode; callers get 503 for the job until it ends",
		Action:  "run the version that wrote it, or end the job",
	},
	{
		Name: "batch job given up", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "age", "routed", "left"},
		Meaning: "its deadline has passed, or its route was removed (`routed=false`)",
	},
	{
		Name: "batch job known", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "items", "model", "oldest-version", "offset"},
		Meaning: "the job is in this entry's copy of the store",
	},
	{
		Name: "batch jobs not given up, the configuration can't be read", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"count", "err"},
		Meaning: "the jobs stay open until the newest configuration confirms that they can't be finished",
	},
	{
		Name: "callers' connections not closed in order", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "a listener could not be closed during shutdown",
	},
	{
		Name: "client account left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"position", "why"},
		Meaning: "the account at `position` of the configuration's list, from 0, is not in force; its keys are unknown",
		Action:  "correct the configuration",
	},
	{
		Name: "client accounts in force", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"version", "accounts"},
		Meaning: "requests need the key of one of the accounts unless their route is anonymous",
	},
	{
		Name: "client accounts partly unreadable", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"field"},
		Meaning: "a value in the configuration's list of accounts has the wrong type and counts as missing; `field` is that of the first one",
		Action:  "correct the configuration",
	},
	{
		Name: "configuration in force", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"version", "offset", "routes"},
		Meaning: "requests are handled according to this version from now on",
	},
	{
		Name: "direct way to the store lost", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"peers", "err"},
		Meaning: "the store is unreachable from this host; `peers` can relay requests",
		Action:  "if only one host is affected, check its network path to the store",
	},
	{
		Name: "direct way to the store works again", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"after"},
		Meaning: "the store is reachable directly again, after `after`",
	},
	{
		Name: "entry of a target lapsed around an outage of the store", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "offset", "kept-for"},
		Meaning: "the target stays in use for `kept-for`",
	},
	{
		Name: "group left, others do its work", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"members", "wanted"},
		Meaning: "enough other entries process jobs",
	},
	{
		Name: "group not joined", Level: LevelDetail, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "the store didn't answer",
	},
	{
		Name: "group not left, the store will notice by itself", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "leaving the group failed during shutdown",
	},
	{
		Name: "history has expired, reading the whole partition", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "offset"},
		Meaning: "this entry was disconnected for longer than the store keeps its history",
	},
	{
		Name: "item done", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "state", "events", "expected-tokens", "versions", "job-age"},
		Meaning: "its text is whole and scored, or it failed; `job-age` is since acceptance",
	},
	{
		Name: "item given up", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "status", "failures"},
		Meaning: "it reached the maximum number of failures of its route",
		Action:  "check `status`",
	},
	{
		Name: "item goes on elsewhere", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "target", "after", "cause"},
		Meaning: "`cause` says why it left `target` after event `after`",
		Action:  "many with one target: that target",
	},
	{
		Name: "item not given up, the configuration can't be read", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"host", "path", "err"},
		Meaning: "the item waits until the newest configuration confirms its maximum number of failures",
	},
	{
		Name: "item placed", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "target", "service", "software", "after", "waited", "candidates", "in-flight", "slowness"},
		Meaning: "a target with a free slot took it; `waited` is since it was ready",
		Action:  "long waits: too few targets have the weights, see `load ordered`",
	},
	{
		Name: "item starts anew, its version is gone", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "versions", "software", "after"},
		Meaning: "a text must come from one software version, and on some routes from one version of the weights, and no target has that version any more",
	},
	{
		Name: "item starts anew, the targets of its software version have no room", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "software", "after", "waited"},
		Meaning: "the item has waited for as long as its text took, and targets of another software version have room",
	},
	{
		Name: "item waits at a full engine", Level: LevelDetail, Scope: ScopeJob,
		Fields:  []string{"job", "item", "target", "for"},
		Meaning: "`target` is busy with other items, and no other target has a free slot",
	},
	{
		Name: "items handed over", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "count", "left", "took"},
		Meaning: "another entry takes over the job and continues its texts; `left` runs did not stop in time",
	},
	{
		Name: "key of a client account left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"account", "position", "why"},
		Meaning: "the key at `position` of the account's list, from 0, is not in force",
		Action:  "correct the configuration",
	},
	{
		Name: "lease can't be encoded", Level: LevelError, Scope: ScopeHost,
		Meaning: "a bug in the program",
		Action:  "report it",
	},
	{
		Name: "lease changes hands", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"lease", "holder", "token", "offset"},
		Meaning: "`holder` may order targets to load weights; it is empty if the lease was released",
		Action:  "if this is frequent, the host of the holder loses its connection to the store",
	},
	{
		Name: "lease not written", Level: LevelDetail, Scope: ScopeHost,
		Fields:  []string{"lease", "err"},
		Meaning: "renewing the lease failed",
	},
	{
		Name: "limit acted on callers", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"limit", "count", "held", "budget"},
		Meaning: "a limit of memory, connections or progress refused or closed `count` requests or connections since its last line; at most one line per limit in 10 s",
		Action:  "look for clients that exceed the limits; if they are ordinary ones, the host is too small",
	},
	{
		Name: "links of other entries are not taken any more", Level: LevelError, Scope: ScopeHost,
		Meaning: "the listener for peers failed",
		Action:  "replace the process",
	},
	{
		Name: "load not accepted", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "model", "version", "err"},
		Meaning: "the target rejected the order to load weights, or did not respond",
		Action:  "if `err` is `target runs N requests`, an idle target is preferred for 2 s",
	},
	{
		Name: "load ordered", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "model", "version", "before", "token", "orders-accepted", "err"},
		Meaning: "a target is told to load weights; `token` is that of the lease, `orders-accepted` the number of orders that the target had accepted before",
	},
	{
		Name: "number of targets decided", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"service", "zone", "targets", "before", "serving", "items", "calls", "waiting", "wait"},
		Meaning: "the service needs another number of targets in the zone; `items` and `calls` use places, `waiting` items want one and will have waited for `wait`",
	},
	{
		Name: "old breaks not dropped yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "retried later",
	},
	{
		Name: "order to scale sent", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"service", "zone", "targets", "holder", "token", "again", "err"},
		Meaning: "the platform has acknowledged the order, or rejected it (`err`, `again=false`); `again` says whether it is sent again",
		Action:  "if `err` recurs, check the platform's API",
	},
	{
		Name: "owner of a batch job doesn't answer, the store is asked", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "verb", "owner", "err"},
		Meaning: "the entry that processes the job is gone or does not respond",
	},
	{
		Name: "owners of batch jobs not read", Level: LevelDetail, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "the store didn't answer",
	},
	{
		Name: "partitions of batch jobs dealt", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"generation", "partitions"},
		Meaning: "this entry processes the jobs of `partitions` from now on",
	},
	{
		Name: "priority of a client account left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"account", "why"},
		Meaning: "the priority of the route applies to the account's requests",
		Action:  "correct the configuration",
	},
	{
		Name: "program can't start", Level: LevelError, Scope: ScopeHost,
		Meaning: "a bug in the program",
		Action:  "report it",
	},
	{
		Name: "program ends by a fault", Level: LevelError, Scope: ScopeHost,
		Meaning: "a listener could not be opened, or it ended",
		Action:  "check the error",
	},
	{
		Name: "record of a batch job left out, the job belongs to another account", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "account", "other", "offset"},
		Meaning: "the job stays that of `account`; the record of `other` was written by a host at which accounts were not in force yet",
	},
	{
		Name: "request acquitted, a target has run it", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"fingerprint", "failures"},
		Meaning: "targets have failed beside the request, not because of it; those failures no longer count",
	},
	{
		Name: "request answered", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "method", "route", "path", "status", "target", "why", "took", "configuration"},
		Meaning: "logged once for each request",
	},
	{
		Name: "request convicted, targets break off under it", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"fingerprint", "targets", "offset"},
		Meaning: "the request is refused at every host for 5 minutes",
		Action:  "find the caller of the request",
	},
	{
		Name: "request limit named", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "limit"},
		Meaning: "a target in need accepts only `limit` requests per second from all hosts together",
	},
	{
		Name: "request limit withdrawn", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "limit"},
		Meaning: "the target accepts any number of requests again; `limit` is the last one that it named",
	},
	{
		Name: "requests sent to a limited target", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "limit", "sent", "denied", "within"},
		Meaning: "this host has sent the target `sent` requests in the period `within` and has not sent `denied`; the target accepts `limit` per second from all hosts together",
	},
	{
		Name: "request refused for want of room", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "service", "account", "limit", "in-flight", "ahead", "estimate", "left", "retry-after", "waited", "unlogged"},
		Meaning: "by `estimate` the request would be sent too late for a response within `left`; `ahead` waiting requests go before it; `unlogged` such decisions before this one have no line",
		Action:  "many: the service needs more targets",
	},
	{
		Name: "request waits for room", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "service", "account", "limit", "in-flight", "ahead", "estimate", "left", "unlogged"},
		Meaning: "the request will be sent after about `estimate`; `ahead` waiting requests go before it; `unlogged` such decisions before this one have no line",
	},
	{
		Name: "requests broken off", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"count", "err"},
		Meaning: "the shutdown timeout expired",
	},
	{
		Name: "result can't be encoded", Level: LevelError, Scope: ScopeJob,
		Fields:  []string{"job", "item"},
		Meaning: "a bug in the program",
		Action:  "report it",
	},
	{
		Name: "result can't be read, the job has no further ones here", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "the store contains data that this version cannot decode; callers get 503 from that position on",
		Action:  "run the version that wrote it, or end the job",
	},
	{
		Name: "results wait for the store", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"count", "err"},
		Meaning: "`count` results could not be written yet",
	},
	{
		Name: "scorer failed", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "scorer", "status", "failures"},
		Meaning: "a scorer returned a failure",
	},
	{
		Name: "second signal, giving up what is left", Level: LevelInfo, Scope: ScopeHost,
		Meaning: "work in progress is aborted",
	},
	{
		Name: "second target asked, the first is silent", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "service"},
		Meaning: "an idempotent call was hedged",
	},
	{
		Name: "settings file has changed, nothing under way is touched", Level: LevelInfo, Scope: ScopeHost,
		Meaning: "SIGHUP was received; work in progress is not affected",
	},
	{
		Name: "settled batch jobs not dropped yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "err"},
		Meaning: "retried in 15 s",
	},
	{
		Name: "started", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"program", "version", "host", "zone", "incarnation"},
		Meaning: "the program has started",
	},
	{
		Name: "stopped", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"program"},
		Meaning: "the program has stopped as requested",
	},
	{
		Name: "stopping", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"signal"},
		Meaning: "a signal to stop was received; no new connections are accepted",
	},
	{
		Name: "store answers again", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "offset"},
		Meaning: "the partition can be read again after `store lost`",
	},
	{
		Name: "store lost", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "offset", "err"},
		Meaning: "a partition can't be read; once until it can",
	},
	{
		Name: "store reached through a peer", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"peer"},
		Meaning: "`peer` relays the store requests of this host",
	},
	{
		Name: "stream goes on at another target", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "target", "software", "after", "cause"},
		Meaning: "a resumable stream was interrupted after event `after`",
	},
	{
		Name: "base version of software", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"service", "software", "admitted", "replaced", "offset"},
		Meaning: "streams of the service that begin at this version need no record in the store. If `replaced`, those without a record can't be taken up after a kill of all hosts, until all hosts have written what they know; only `admitted` begins streams that can't be recorded",
	},
	{
		Name: "base version not named yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"service", "software", "err"},
		Meaning: "it couldn't be written to the store; each stream is recorded until then",
	},
	{
		Name: "base version can't be encoded", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"service"},
		Meaning: "each stream of the service is recorded",
		Action:  "report it",
	},
	{
		Name: "unreadable base version", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "each stream of the service is recorded, and those without a record can't be taken up",
		Action:  "find out who else writes to the topic",
	},
	{
		Name: "host not registered for base versions yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"written", "err"},
		Meaning: "the store didn't take the registration; each stream that begins here is recorded until it does",
	},
	{
		Name: "unreadable registration of a host", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "base versions are replaced 2 minutes after their last target only",
		Action:  "find out who else writes to the topic",
	},
	{
		Name: "registrations of hosts that are gone not deleted yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "tried again in a minute",
	},
	{
		Name: "origins of streams written, a base version is being replaced", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"offset"},
		Meaning: "the store has the origins of all streams that this host knew to have none there; `offset` is that of the base version's record",
	},
	{
		Name: "stream doesn't begin, its software version can't be recorded", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "target", "software", "waited"},
		Meaning: "the store doesn't take the stream's record, and without it the stream might be taken up at another version; nothing of it has been passed on",
	},
	{
		Name: "stream's origin can't be encoded", Level: LevelError, Scope: ScopeRequest,
		Fields:  []string{"stream"},
		Meaning: "it is not recorded",
		Action:  "report it",
	},
	{
		Name: "unreadable lease counts as held by another host", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "no host acts under the lease until it expires",
	},
	{
		Name: "unreadable origin of a stream", Level: LevelError, Scope: ScopeRequest,
		Fields:  []string{"stream"},
		Meaning: "the stream can't be taken up",
		Action:  "find out who else writes to the topic",
	},
	{
		Name: "records not written yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "count", "err"},
		Meaning: "the store doesn't take them; they are written later, unless this host ends before",
	},
	{
		Name: "origins of streams can't be read", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"partition", "err"},
		Meaning: "a stream that no host knows can't be taken up until the store answers",
	},
	{
		Name: "old origins of streams not deleted yet", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"err"},
		Meaning: "tried again in a minute",
	},
	{
		Name: "stream taken up", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "resumes", "after", "target", "start", "software", "source"},
		Meaning: "a caller takes up a stream that the `start` of `target` began; it goes on at targets of the version `software`, which `source` tells",
	},
	{
		Name: "stream not taken up, its start isn't listed yet", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "resumes", "after", "target", "start", "source"},
		Meaning: "the start of the target that began the stream has not been listed, so that its software version is unknown; the caller was asked to come back",
		Action:  "many: targets write their entries late, or this host reads them late",
	},
	{
		Name: "start of a stream's target is listed", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"stream", "target", "start", "software", "waited"},
		Meaning: "the stream, which `waited` for that, can go on at this version",
	},
	{
		Name: "origin of a stream recorded again, its start is listed", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"stream", "target", "start", "software"},
		Meaning: "the stream can be taken up at any host from now on",
	},
	{
		Name: "start of an item's target is listed", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"job", "item", "target", "start", "software", "after"},
		Meaning: "the text can go on at this version",
	},
	{
		Name: "stream not taken up, its software version is unknown", Level: LevelInfo, Scope: ScopeRequest,
		Fields:  []string{"request", "resumes", "after"},
		Meaning: "a caller takes up a stream that none of the hosts asked knows, and targets of several software versions have served lately",
		Action:  "many: hosts lose their memory or can't reach each other",
	},
	{
		Name: "target says that it leaves", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "since", "state"},
		Meaning: "a response of the target said so `since` ago, here or at another host; `state` is the one in its entry. It gets no more requests until it has started again",
	},
	{
		Name: "another start of a target responds than the listed one", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "start", "listed"},
		Meaning: "the target has started again and its entry is out of date; its software version isn't known until it is listed, so that what began elsewhere doesn't go on there, nor what it begins elsewhere",
	},
	{
		Name: "start of a target asked for again", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "listed", "start", "confirmed"},
		Meaning: "the target had not said in time which start responds; if the listed one isn't `confirmed`, what it begins goes on nowhere",
		Action:  "many that are not confirmed: find out why its status reports take so long",
	},
	{
		Name: "target doesn't name its start", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "err"},
		Meaning: "the target may have started again, and its status report doesn't say. A stream begins at another target, or it is asked again",
	},
	{
		Name: "target that was in doubt stays", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target"},
		Meaning: "its name was said to leave while the store still listed its start before; a health check found that this start stays, and it is used",
	},
	{
		Name: "target in doubt doesn't answer", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "err"},
		Meaning: "the same, but the health check failed; it is not used and checked again each 500 ms",
	},
	{
		Name: "target gone", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "offset"},
		Meaning: "its entry is gone",
	},
	{
		Name: "target gone, its entry isn't back", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target"},
		Meaning: "its entry expired during an outage of the store and was not renewed in time",
	},
	{
		Name: "target listed", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "service", "address", "software", "state", "offset"},
		Meaning: "the target is new, restarted or in another state",
	},
	{
		Name: "text of another run found", Level: LevelInfo, Scope: ScopeJob,
		Fields:  []string{"job", "item", "used", "after", "whole", "versions", "oldest-version"},
		Meaning: "an item that came again, or was taken over, goes on after event `after` or is whole; `used=false`: its versions are too old, or its prompt has changed",
	},
	{
		Name: "the host's clock can't be read", Level: LevelError, Scope: ScopeHost,
		Meaning: "the process exits, because no lease can be trusted",
		Action:  "replace the host",
	},
	{
		Name: "part of a text can't be encoded", Level: LevelError, Scope: ScopeJob,
		Fields:  []string{"job", "item"},
		Meaning: "the part is not stored; the item starts over if its owner is lost",
	},
	{
		Name: "record left out after an unexpected error", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "the previous line has the error; other records are processed",
		Action:  "report it with the stack of that line",
	},
	{
		Name: "third signal, ending at once", Level: LevelInfo, Scope: ScopeHost,
		Meaning: "the process exits without waiting for work in progress",
	},
	{
		Name: "unexpected error in a task", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"task", "stack"},
		Meaning: "the task has ended or is restarted; all others continue",
		Action:  "report it with the stack",
	},
	{
		Name: "unexpected message of a peer, link closed", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"message"},
		Meaning: "another program connects to the listener for peers",
	},
	{
		Name: "unreadable break left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"key", "offset"},
		Meaning: "the store contains data that this version cannot decode",
	},
	{
		Name: "unreadable entry of a target left out", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "offset", "err"},
		Meaning: "it does not identify a target",
		Action:  "check the program that wrote it",
	},
	{
		Name: "unreadable part of a text left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"key", "offset", "err"},
		Meaning: "the item starts over if its owner is lost",
	},
	{
		Name: "unreadable record of the operator left out", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"key", "offset", "err"},
		Meaning: "the previous record stays in force",
		Action:  "check the program that wrote it",
	},
	{
		Name: "usage report can't be encoded", Level: LevelError, Scope: ScopeHost,
		Fields:  []string{"window"},
		Meaning: "a fault of the program; the window is not reported",
		Action:  "report it",
	},
	{
		Name: "usage report given up", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"window", "holder", "digest"},
		Meaning: "the platform has not acknowledged the report for 9 min",
		Action:  "check the path to the platform's API",
	},
	{
		Name: "usage report sent", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"window", "holder", "token", "digest", "again", "err"},
		Meaning: "the platform has acknowledged the report, or rejected it (`err`, `again=false`); `again` says whether it is sent again",
		Action:  "if `err` recurs, check the platform's API",
	},
	{
		Name: "usage report stored", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"window", "holder", "token", "digest", "late"},
		Meaning: "the counts of a window are in the store and won't change; `late` is the time since the window's end",
	},
	{
		Name: "usage reports not stored", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"count", "err"},
		Meaning: "the store took no record; nothing is sent meanwhile",
		Action:  "see the store",
	},
	{
		Name: "usage reports taken over", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"holder", "token", "stored", "members", "silent"},
		Meaning: "this host reports usage from now on; it has found `stored` reports in the store, and `silent` of `members` hosts don't answer",
	},
	{
		Name: "usage windows that no member knows, not reported", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"first", "count", "members", "silent"},
		Meaning: "no host was running when these windows began, and none has starts of them",
		Action:  "expected at the start of a deployment; otherwise see why all hosts restarted",
	},
	{
		Name: "weights loaded", Level: LevelInfo, Scope: ScopeTarget,
		Fields:  []string{"target", "model", "version", "after"},
		Meaning: "`after` is the time since the order",
	},
	{
		Name: "weights named", Level: LevelInfo, Scope: ScopeHost,
		Fields:  []string{"model", "version", "offset"},
		Meaning: "a trainer has announced a version",
	},
}
