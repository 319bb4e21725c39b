package approver_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// An approval is valid for one team and one service until it expires.
func Example() {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	d := &validator.Document{
		Owners: []validator.Owner{{
			Name: "prakai", PublicKey: base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey)),
		}},
		Services: []validator.Service{{Name: "advice-models", Owner: "prakai"}},
	}
	expires := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	g := validator.Grant{
		Team: "franchisees", Service: "advice-models",
		Approval: approver.SignApproval(key, "franchisees", "advice-models", "prakai", expires),
	}
	fmt.Println(approver.VerifyGrant(d, g, expires.Add(-time.Hour)))
	copied := g
	copied.Team = "strangers"
	fmt.Println(approver.VerifyGrant(d, copied, expires.Add(-time.Hour)) != nil)
	fmt.Println(approver.VerifyGrant(d, g, expires) != nil)
	// Output:
	// <nil>
	// true
	// true
}
