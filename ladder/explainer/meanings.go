package explainer

import "strings"

// Meaning explains the code of a request that did not complete, and what to do
// about it.
type Meaning struct {
	Code    string `json:"code"`
	Meaning string `json:"meaning"`
	Action  string `json:"action"`
}

// Meanings lists every code once. A table in docs/OPERATIONS.md is generated
// from it.
var Meanings = []Meaning{
	{"already-ran", "The idempotency key's request ran before, and its answer is not kept any more.", "Don't send it again; look up its effect at the service."},
	{"body-malformed", "The body is no JSON.", "Mend the caller."},
	{"body-too-large", "The body is above limits.max-body-bytes.", "Send less, or raise the limit in the document."},
	{"caller-gone", "The caller closed the connection before the outcome was known.", "Nothing; a call that may not be repeated may have run."},
	{"crashes-targets", "The same request was in progress in two crashes of targets and is held back.", "Keep the request for the engine's makers. It is taken again after limits.crash-quarantine-seconds."},
	{"entry-stopping", "The entry is being stopped and takes nothing more.", "Send it again: the balancer gives it to another entry."},
	{"idempotency-key-invalid", "The idempotency key is no UUIDv7.", "Mend the caller."},
	{"idempotency-key-reused", "The idempotency key belongs to another request.", "Mend the caller: one key for one request."},
	{"idempotency-key-too-old", "The idempotency key is older than the log surely keeps claims.", "Look up the effect at the service, then send with a new key."},
	{"key-missing", "The request has no bearer key.", "Send Authorization: Bearer KEY."},
	{"key-unknown", "No team in the document in force has this key.", "Check the key, and whether its hash was removed in a rotation."},
	{"label-unknown", "The weights that made the tokens can't be named for certain.", "Nothing for one; many mean that a target restarts or that somebody else switches its weights."},
	{"log-unavailable", "The platform's log gave no answer, and the call must be claimed there first.", "Come back as told. See the page on log outages."},
	{"no-target", "No linked, staying target of the service could take it.", "Look at the live page: are the service's targets linked, or all leaving?"},
	{"not-ready", "This entry has not read a document in force yet.", "Come back as told; if it lasts, see whether the log answers."},
	{"queue-full", "The target's queue is full.", "Come back as told. If it lasts, add targets or lower the teams' limits."},
	{"target-failed", "The target broke off after it had begun.", "For a call that may not be repeated, look up its effect at the service."},
	{"target-lost", "The sidecar or its host was lost after the request was sent.", "For a call that may not be repeated, look up its effect at the service."},
	{"target-refused", "The target itself refused the request before running it.", "Come back as told; look at the target's own log."},
	{"team-limit", "The team is above its rate or its open requests at this entry.", "Come back as told, or raise the team's limits in the document."},
	{"team-not-approved", "The service's owner has no valid approval in force for this team.", "Ask the owner to approve; see Approvals for whether one is missing or has expired."},
	{"team-not-trainer", "The team is not the trainer of this model.", "Check the model's trainer in the document."},
	{"timeout", "The caller's time was over before the outcome was known.", "A not-run one may be sent again; for an unknown one look up its effect."},
	{"unknown-service", "The document in force has no such service.", "Check the name in the caller's path."},
}

// MeaningByCode returns the meaning of a code.
func MeaningByCode(code string) Meaning {
	for _, m := range Meanings {
		if m.Code == code {
			return m
		}
	}
	if strings.HasPrefix(code, "http-") {
		return Meaning{code, "The path, method or headers are not the entry's.", "Mend the caller."}
	}
	return Meaning{Code: code}
}
