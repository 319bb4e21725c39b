// Package approver signs and checks a service owner's approval of one team.
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

// canonical is what an owner signs: exactly one team, service, owner and
// expiry, so that a copied or altered approval fails. Names are kebab-case,
// so line ends separate them without doubt.
func canonical(team identifier.TeamName, service identifier.ServiceName, owner identifier.OwnerName, expires time.Time) []byte {
	return fmt.Appendf(nil, "lycheeladder-grant-1\n%s\n%s\n%s\n%s\n", team, service, owner, expires.UTC().Format(time.RFC3339Nano))
}

// SignApproval returns owner's approval of team for service until expires, which
// is cut to whole seconds.
func SignApproval(key ed25519.PrivateKey, team identifier.TeamName, service identifier.ServiceName, owner identifier.OwnerName, expires time.Time) validator.Approval {
	expires = expires.UTC().Truncate(time.Second)
	signature := ed25519.Sign(key, canonical(team, service, owner, expires))
	return validator.Approval{
		Owner:     owner,
		Expires:   expires,
		Signature: base64.StdEncoding.EncodeToString(signature),
	}
}

// VerifyGrant returns nil if the grant carries a valid approval of the service's
// owner in d at the time now.
func VerifyGrant(d *validator.Document, g validator.Grant, now time.Time) (err error) {
	if err := VerifySignature(d, g); err != nil {
		return err
	}
	if !now.Before(g.Approval.Expires) {
		return errors.Errorf("grant of %s to %s: approval expired at %s", g.Service, g.Team, g.Approval.Expires.UTC().Format(time.RFC3339))
	}
	return nil
}

// VerifySignature is Check but for the expiry. Its verdict depends on the
// grant, the service's owner and the owner's key alone, so it can be kept.
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
	if !verify(o, canonical(g.Team, g.Service, g.Approval.Owner, g.Approval.Expires), g.Approval.Signature) {
		return errors.New("signature doesn't match")
	}
	return nil
}

// UnapprovedGrants returns the places in d.Grants that have no valid approval at now.
func UnapprovedGrants(d *validator.Document, now time.Time) (places []int) {
	for i, g := range d.Grants {
		if VerifyGrant(d, g, now) != nil {
			places = append(places, i)
		}
	}
	return places
}
