package authorizer

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Verifying a signature takes tens of microseconds, hardly less than all other
// work of an entry on a call. The result depends only on the grant and the key
// of the service owner. It is therefore computed once and kept across
// revisions.

// Index authenticates and authorizes callers according to one document.
type Index struct {
	document *validator.Document
	// teams maps the hash of each key to its team.
	teams    map[string]validator.Team
	services map[identifier.ServiceName]validator.Service
	grants   map[grantKey]verifiedGrant
}

type grantKey struct {
	team    identifier.TeamName
	service identifier.ServiceName
}

type verifiedGrant struct {
	validator.Grant
	// ownerKey is the public key with which the signature was verified.
	ownerKey       string
	signatureValid bool
}

// NewIndex returns the index of d, which may be nil. It reuses the results of
// signature checks from previous, which may be nil.
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
	x.grants = make(map[grantKey]verifiedGrant, len(d.Grants))
	for _, g := range d.Grants {
		x.grants[grantKey{g.Team, g.Service}] = x.verifyGrant(g, previous)
	}
	return x
}

func (x *Index) verifyGrant(g validator.Grant, previous *Index) verifiedGrant {
	o, _ := x.document.OwnerByName(x.services[g.Service].Owner)
	if previous != nil {
		old, ok := previous.grants[grantKey{g.Team, g.Service}]
		if ok && old.Grant == g && old.ownerKey == o.PublicKey && previous.services[g.Service].Owner == o.Name {
			return old
		}
	}
	return verifiedGrant{Grant: g, ownerKey: o.PublicKey, signatureValid: approver.VerifySignature(x.document, g) == nil}
}

// Document returns the indexed document, or nil if none is in force.
func (x *Index) Document() *validator.Document { return x.document }

// AuthenticateTeam returns the team that holds the key. Only the hash of the
// key is looked up, so that response times reveal nothing about other keys.
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

// AuthorizeService returns the service after checking that its owner has
// approved the team and that the approval is valid at now.
func (x *Index) AuthorizeService(t identifier.TeamName, name identifier.ServiceName, now time.Time) (validator.Service, Refusal) {
	s, ok := x.services[name]
	if !ok {
		return s, RefusalUnknownService
	}
	g, ok := x.grants[grantKey{t, name}]
	if !ok || !g.signatureValid || !now.Before(g.Approval.Expires) {
		return s, RefusalNotApproved
	}
	return s, RefusalNone
}
