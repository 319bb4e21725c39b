package authorizer

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// A signature takes tens of microseconds to verify, a call to the rest of the
// entry little more. The verdict on a grant depends on the grant and its
// owner's key alone, so it is found once and kept from revision to revision.

// Index answers who is calling and what they may call, for one document.
type Index struct {
	document *validator.Document
	// teams are by the hash of each of their keys.
	teams    map[string]validator.Team
	services map[identifier.ServiceName]validator.Service
	// grants are those of the document, by team and service.
	grants map[grantName]grant
}

type grantName struct {
	team    identifier.TeamName
	service identifier.ServiceName
}

type grant struct {
	validator.Grant
	// ownerKey is the key that signed was found with.
	ownerKey string
	// signed says whether the owner's signature is good.
	signed bool
}

// NewIndex returns the index of d, which may be nil. Verdicts on signatures
// are taken over from previous, which may be nil.
func NewIndex(d *validator.Document, previous *Index) *Index {
	x := &Index{document: d}
	if d == nil {
		return x
	}
	x.teams = make(map[string]validator.Team, len(d.Teams))
	for _, t := range d.Teams {
		for _, hash := range t.KeyHashes {
			x.teams[hash] = t
		}
	}
	x.services = make(map[identifier.ServiceName]validator.Service, len(d.Services))
	for _, s := range d.Services {
		x.services[s.Name] = s
	}
	x.grants = make(map[grantName]grant, len(d.Grants))
	for _, g := range d.Grants {
		x.grants[grantName{g.Team, g.Service}] = x.judge(g, previous)
	}
	return x
}

func (x *Index) judge(g validator.Grant, previous *Index) grant {
	o, _ := x.document.OwnerByName(x.services[g.Service].Owner)
	if previous != nil {
		old, ok := previous.grants[grantName{g.Team, g.Service}]
		if ok && old.Grant == g && old.ownerKey == o.PublicKey && previous.services[g.Service].Owner == o.Name {
			return old
		}
	}
	return grant{Grant: g, ownerKey: o.PublicKey, signed: approver.VerifySignature(x.document, g) == nil}
}

// Document returns the document of the index, nil if none is in force.
func (x *Index) Document() *validator.Document { return x.document }

// AuthenticateTeam finds the team that holds the key. Only the key's hash is looked up, so
// that the time taken tells nothing of other keys.
func (x *Index) AuthenticateTeam(key string) (validator.Team, Refusal) {
	switch {
	case x.document == nil:
		return validator.Team{}, RefusalNotReady
	case key == "":
		return validator.Team{}, RefusalKeyMissing
	}
	t, ok := x.teams[HashKey(key)]
	if !ok {
		return t, RefusalKeyUnknown
	}
	return t, RefusalNone
}

// AuthorizeService finds the service and checks that its owner has approved the team,
// at the time now.
func (x *Index) AuthorizeService(t identifier.TeamName, name identifier.ServiceName, now time.Time) (validator.Service, Refusal) {
	s, ok := x.services[name]
	if !ok {
		return s, RefusalUnknownService
	}
	g, ok := x.grants[grantName{t, name}]
	if !ok || !g.signed || !now.Before(g.Approval.Expires) {
		return s, RefusalNotApproved
	}
	return s, RefusalNone
}
