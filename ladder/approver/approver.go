// Package approver signs and verifies the approvals with which service owners
// let teams call their services.
package approver

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// approvalMessage returns the bytes that an owner signs. They contain the
// team, service, owner and expiry, so that a copied or altered approval is
// invalid. Names are kebab-case, so that newlines separate them unambiguously.
func approvalMessage(team identifier.TeamName, service identifier.ServiceName, owner identifier.OwnerName, expires time.Time) []byte {
	return fmt.Appendf(nil, "lycheeladder-grant-1\n%s\n%s\n%s\n%s\n", team, service, owner, expires.UTC().Format(time.RFC3339Nano))
}

// SignApproval returns an approval by owner for team to call service. expires
// is truncated to whole seconds.
func SignApproval(key ed25519.PrivateKey, team identifier.TeamName, service identifier.ServiceName, owner identifier.OwnerName, expires time.Time) validator.Approval {
	expires = expires.UTC().Truncate(time.Second)
	signature := ed25519.Sign(key, approvalMessage(team, service, owner, expires))
	return validator.Approval{
		Owner:     owner,
		Expires:   expires,
		Signature: base64.StdEncoding.EncodeToString(signature),
	}
}

// VerifyGrant returns nil if the grant has an approval by the owner of the
// service in d that is valid at now.
func VerifyGrant(d *validator.Document, g validator.Grant, now time.Time) (err error) {
	if err := VerifySignature(d, g); err != nil {
		return err
	}
	if !now.Before(g.Approval.Expires) {
		return errors.Errorf("grant of %s to %s: approval expired at %s", g.Service, g.Team, g.Approval.Expires.UTC().Format(time.RFC3339))
	}
	return nil
}

// VerifySignature is VerifyGrant without the check of the expiry. The result
// depends only on the grant, the owner of the service and the key of the
// owner, so that it can be cached.
func VerifySignature(d *validator.Document, g validator.Grant) (err error) {
	defer annotator.Annotate(&err, "grant of %s to %s", g.Service, g.Team)
	s, ok := d.ServiceByName(g.Service)
	if !ok {
		return errors.New("unknown service")
	}
	if g.Approval == (validator.Approval{}) {
		return errors.New("not approved yet")
	}
	if g.Approval.Owner != s.Owner {
		return errors.Errorf("approved by %q, owner is %q", g.Approval.Owner, s.Owner)
	}
	o, ok := d.OwnerByName(s.Owner)
	if !ok {
		return errors.Errorf("unknown owner %q", s.Owner)
	}
	if !verifyOwnerSignature(o, approvalMessage(g.Team, g.Service, g.Approval.Owner, g.Approval.Expires), g.Approval.Signature) {
		return errors.New("signature doesn't match")
	}
	return nil
}

// UnapprovedGrants returns the indices in d.Grants without a valid approval at
// now.
func UnapprovedGrants(d *validator.Document, now time.Time) (indices []int) {
	for i, g := range d.Grants {
		if VerifyGrant(d, g, now) != nil {
			indices = append(indices, i)
		}
	}
	return indices
}
