// Package identifier names every id and unit that the programs exchange, so
// that one kind is never passed for another.
package identifier

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

type (
	// RequestID is a UUIDv7 that an entry gives to each call it accepts.
	RequestID string
	// AttemptNumber counts the dispatches of one request, from 1.
	AttemptNumber uint32
	// Incarnation is a UUIDv7 drawn when a process starts: a replaced or
	// restarted process never has its predecessor's.
	Incarnation string
	// TeamName names an approved calling team.
	TeamName string
	// ServiceName names a group of equal targets with one owner.
	ServiceName string
	// TargetName names one back end, served by one sidecar.
	TargetName string
	// OwnerName names the owner of a service.
	OwnerName string
	// OperatorName names an operator.
	OperatorName string
	// EntryName names one entry process's host.
	EntryName string
	// ModelName names a model under training.
	ModelName string
	// ZoneName names an availability zone.
	ZoneName string
	// CallName names a call of a service, such as "generate" or "reserve".
	CallName string
	// WeightVersion numbers a model's weights; a later version is larger.
	WeightVersion uint64
	// SampleID names one sample of a group: all attempts at it share the id.
	SampleID string
	// GroupID names a group of samples of one prompt.
	GroupID string
	// SessionNumber numbers a trainer's sessions; the highest is in force.
	SessionNumber uint64
	// SequenceNumber numbers the samples handed over in a session, densely
	// from 1.
	SequenceNumber uint64
	// Revision numbers accepted configurations, from 1; 0 is none.
	Revision uint64
	// LogOffset is a record's place in a stream of the platform's log.
	LogOffset uint64
	// StreamName names a stream of the platform's log.
	StreamName string
	// DocumentID is a UUID that names one proposed configuration document.
	DocumentID string
	// IdempotencyKey is the caller's own UUIDv7 for a call that must run at
	// most once.
	IdempotencyKey string
	// FencingToken orders the senders of engine orders; a larger one wins.
	FencingToken uint64
	// TokenCount counts generated tokens.
	TokenCount uint64
	// TopicName names a topic of the platform's store.
	TopicName string
	// PartitionNumber numbers a topic's partitions, from 0.
	PartitionNumber int
	// RouteName names one route of a published configuration.
	RouteName string
	// JobID names a batch job; its submitter draws it.
	JobID string
	// ItemID names one item of a batch job. Items of different jobs may share it.
	ItemID string
	// EventNumber numbers the events of a streamed answer, from 1; 0 is none.
	EventNumber uint64
	// Fingerprint is the xxhash64 of a request's service, call and body.
	Fingerprint uint64
)

// PriorityClass orders waiting work: live before rollout.
type PriorityClass string

// The classes, in the order in which they are served.
const (
	ClassLive    PriorityClass = "live"
	ClassRollout PriorityClass = "rollout"
)

// PriorityClasses lists every class in the order of service.
var PriorityClasses = []PriorityClass{ClassLive, ClassRollout}

// NewRequestID returns a fresh request id.
func NewRequestID() RequestID { return RequestID(newUUID()) }

// NewIncarnation returns a fresh incarnation.
func NewIncarnation() Incarnation { return Incarnation(newUUID()) }

// NewDocumentID returns a fresh document id.
func NewDocumentID() DocumentID { return DocumentID(newUUID()) }

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(service ServiceName, call CallName, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(service) + "\x00" + string(call) + "\x00")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

func newUUID() string { return uuid.Must(uuid.NewV7()).String() }
