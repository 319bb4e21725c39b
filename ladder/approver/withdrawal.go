package approver

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Withdrawal is a signed statement by an owner that an approval is no longer
// valid. It lets owners withdraw approvals without an operator's key.
type Withdrawal struct {
	Team    identifier.TeamName    `json:"team"`
	Service identifier.ServiceName `json:"service"`
	// ApprovalSignature is the signature of the withdrawn approval, so that a
	// replayed withdrawal cannot remove a later approval.
	ApprovalSignature string `json:"approval"`
	// Signature is that of the owner, in base64.
	Signature string `json:"signature"`
}

func (w Withdrawal) message() []byte {
	return fmt.Appendf(nil, "lycheeladder-withdrawal-1\n%s\n%s\n%s\n", w.Team, w.Service, w.ApprovalSignature)
}

// SignWithdrawal returns a withdrawal of the approval of the grant.
func SignWithdrawal(key ed25519.PrivateKey, g validator.Grant) Withdrawal {
	w := Withdrawal{Team: g.Team, Service: g.Service, ApprovalSignature: g.Approval.Signature}
	w.Signature = base64.StdEncoding.EncodeToString(ed25519.Sign(key, w.message()))
	return w
}

// VerifyWithdrawal returns the owner of the service, and whether the
// withdrawal carries a valid signature of that owner.
func VerifyWithdrawal(d *validator.Document, w Withdrawal) (owner identifier.OwnerName, ok bool) {
	s, _ := d.ServiceByName(w.Service)
	o, _ := d.OwnerByName(s.Owner)
	return o.Name, verifyOwnerSignature(o, w.message(), w.Signature)
}

// AppliesTo reports whether the withdrawn approval is still in d.
func (w Withdrawal) AppliesTo(d *validator.Document) bool {
	g, ok := d.GrantFor(w.Team, w.Service)
	return ok && g.Approval.Signature == w.ApprovalSignature
}
