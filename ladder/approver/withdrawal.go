package approver

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Withdrawal is an owner's signed word that one approval no longer holds. An
// owner has no operator's key; with this it needs none.
type Withdrawal struct {
	Team    identifier.TeamName    `json:"team"`
	Service identifier.ServiceName `json:"service"`
	// ApprovalSignature is the signature of the approval withdrawn, so that a copy of
	// the withdrawal can't strike a later one.
	ApprovalSignature string `json:"approval"`
	// Signature is the owner's, in base64.
	Signature string `json:"signature"`
}

func (w Withdrawal) canonical() []byte {
	return fmt.Appendf(nil, "lycheeladder-withdrawal-1\n%s\n%s\n%s\n", w.Team, w.Service, w.ApprovalSignature)
}

// SignWithdrawal returns the owner's withdrawal of the grant's approval.
func SignWithdrawal(key ed25519.PrivateKey, g validator.Grant) Withdrawal {
	w := Withdrawal{Team: g.Team, Service: g.Service, ApprovalSignature: g.Approval.Signature}
	w.Signature = base64.StdEncoding.EncodeToString(ed25519.Sign(key, w.canonical()))
	return w
}

// VerifyWithdrawal returns the owner whose withdrawal it is, or false if it is
// not the owner's own.
func VerifyWithdrawal(d *validator.Document, w Withdrawal) (owner identifier.OwnerName, ok bool) {
	s, _ := d.ServiceByName(w.Service)
	o, _ := d.OwnerByName(s.Owner)
	return o.Name, verify(o, w.canonical(), w.Signature)
}

// AppliesTo says whether the approval withdrawn is still in d.
func (w Withdrawal) AppliesTo(d *validator.Document) bool {
	g, ok := d.GrantFor(w.Team, w.Service)
	return ok && g.Approval.Signature == w.ApprovalSignature
}
