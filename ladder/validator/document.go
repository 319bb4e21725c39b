package validator

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// SchemaName is the only schema that this version supports.
const SchemaName = "lycheeladder-document-1"

// ServiceKind determines the protocol spoken with the targets of a service.
type ServiceKind string

// The kinds of service.
const (
	KindModelEngine ServiceKind = "model-engine"
	KindPlain       ServiceKind = "plain"
)

// Document is one whole configuration. Every change is a whole document made
// from a base revision.
type Document struct {
	Schema string `json:"schema"`
	// ID is fresh for every proposal: a lost answer is found again by it.
	ID identifier.DocumentID `json:"document-id"`
	// Base is the revision that the document was made from.
	Base      identifier.Revision     `json:"base-revision"`
	Author    identifier.OperatorName `json:"author"`
	Operators []Operator              `json:"operators"`
	Owners    []Owner                 `json:"owners"`
	Models    []Model                 `json:"models"`
	Services  []Service               `json:"services"`
	Teams     []Team                  `json:"teams"`
	Grants    []Grant                 `json:"grants"`
	Limits    Limits                  `json:"limits"`
}

// Operator may publish documents.
type Operator struct {
	Name identifier.OperatorName `json:"name"`
	// KeyHash is the hex SHA-256 of the operator's key.
	KeyHash string `json:"key-hash"`
}

// Owner approves the teams that call its services.
type Owner struct {
	Name identifier.OwnerName `json:"name"`
	// PublicKey is the owner's Ed25519 key in standard base64.
	PublicKey string `json:"public-key"`
	// KeyHandover is needed in the document that changes the key: the old
	// key's signature over the new one, in base64.
	KeyHandover string `json:"key-handover,omitempty"`
}

// Model is a model under training.
type Model struct {
	Name identifier.ModelName `json:"name"`
	// Trainer is the team that announces weights and takes samples.
	Trainer identifier.TeamName `json:"trainer"`
	// Scorer is the service whose call "score" rewards samples; empty for
	// samples without a reward.
	Scorer identifier.ServiceName `json:"scorer,omitempty"`
	// StalenessBound is how many versions a sample may be behind.
	StalenessBound uint64 `json:"staleness-bound"`
	// VersionsInPlay is how many of the newest versions engines may hold.
	VersionsInPlay uint64 `json:"versions-in-play"`
}

// Service is a group of equal targets with one owner.
type Service struct {
	Name  identifier.ServiceName `json:"name"`
	Kind  ServiceKind            `json:"kind"`
	Owner identifier.OwnerName   `json:"owner"`
	// Model is what the engines run; empty for a plain service.
	Model identifier.ModelName `json:"model,omitempty"`
	// FencingChecked says whether engines refuse old fencing numbers.
	FencingChecked bool `json:"fencing-checked,omitempty"`
	// IdempotentCalls may be repeated; every other call may not. A model
	// engine's "generate" always may.
	IdempotentCalls []identifier.CallName `json:"idempotent-calls,omitempty"`
	// Slots is how many requests a sidecar has at its target at once.
	Slots int `json:"slots"`
	// QueueLimit is how many requests of each class wait at a sidecar at most.
	QueueLimit int `json:"queue-limit"`
	// AwayPercent is the share of targets that may switch weights at once.
	AwayPercent int `json:"away-percent,omitempty"`
}

// Team is an approved calling team.
type Team struct {
	Name  identifier.TeamName      `json:"name"`
	Class identifier.PriorityClass `json:"class"`
	// KeyHashes are hex SHA-256 hashes of the team's keys: more than one
	// while a key is being rotated.
	KeyHashes []string `json:"key-hashes"`
	// RequestsPerSecond and Burst bound the team at each entry.
	RequestsPerSecond float64 `json:"requests-per-second"`
	Burst             int     `json:"burst"`
	// InFlightLimit bounds the team's open requests at each entry.
	InFlightLimit int `json:"in-flight-limit"`
}

// Grant lets a team call a service, once the service's owner has approved it.
type Grant struct {
	Team    identifier.TeamName    `json:"team"`
	Service identifier.ServiceName `json:"service"`
	// Approval is empty while the owner has not approved yet.
	Approval Approval `json:"approval,omitzero"`
}

// Approval is an owner's signature over one grant.
type Approval struct {
	Owner   identifier.OwnerName `json:"owner"`
	Expires time.Time            `json:"expires"`
	// Signature is Ed25519 over the grant's canonical bytes, in base64.
	Signature string `json:"signature"`
}

// Limits bound every request.
type Limits struct {
	MaxBodyBytes int `json:"max-body-bytes"`
	// MaxTimeoutSeconds bounds what a caller may ask to wait.
	MaxTimeoutSeconds int `json:"max-timeout-seconds"`
	// CrashQuarantineSeconds is how long a request that crashed two targets
	// is refused.
	CrashQuarantineSeconds int `json:"crash-quarantine-seconds"`
}

// TeamByName returns the team named name.
func (d *Document) TeamByName(name identifier.TeamName) (Team, bool) {
	return findFirst(d.Teams, func(t Team) bool { return t.Name == name })
}

// ServiceByName returns the service named name.
func (d *Document) ServiceByName(name identifier.ServiceName) (Service, bool) {
	return findFirst(d.Services, func(s Service) bool { return s.Name == name })
}

// ModelByName returns the model named name.
func (d *Document) ModelByName(name identifier.ModelName) (Model, bool) {
	return findFirst(d.Models, func(m Model) bool { return m.Name == name })
}

// OwnerByName returns the owner named name.
func (d *Document) OwnerByName(name identifier.OwnerName) (Owner, bool) {
	return findFirst(d.Owners, func(o Owner) bool { return o.Name == name })
}

// GrantFor returns the grant of the service to the team.
func (d *Document) GrantFor(team identifier.TeamName, service identifier.ServiceName) (Grant, bool) {
	return findFirst(d.Grants, func(g Grant) bool { return g.Team == team && g.Service == service })
}

// IsIdempotent reports whether a call of the service may be retried.
func (s Service) IsIdempotent(call identifier.CallName) bool {
	if s.Kind == KindModelEngine {
		return true
	}
	_, ok := findFirst(s.IdempotentCalls, func(c identifier.CallName) bool { return c == call })
	return ok
}

func findFirst[T any](items []T, match func(T) bool) (t T, ok bool) {
	for _, item := range items {
		if match(item) {
			return item, true
		}
	}
	return t, false
}
