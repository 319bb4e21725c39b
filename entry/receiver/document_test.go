package receiver_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const teamKey = "franchisees-key"

// newDocumentLog returns a log with one document, which allows the team
// franchisees to call the service spares-app.
func newDocumentLog(t testing.TB) appender.Log {
	t.Helper()
	now := time.Now()
	owner := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public := owner.Public().(ed25519.PublicKey)
	d := validator.Document{
		Schema: validator.SchemaName, ID: identifier.NewDocumentID(), Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("operator-key")}},
		Owners:    []validator.Owner{{Name: "prakai", PublicKey: base64.StdEncoding.EncodeToString(public)}},
		Services: []validator.Service{{
			Name: "spares-app", Kind: validator.KindPlain, Owner: "prakai",
			IdempotentCalls: []identifier.CallName{"lookup"}, Slots: 64, QueueLimit: 64,
		}},
		Teams: []validator.Team{{
			Name: "franchisees", Class: identifier.ClassLive, KeyHashes: []string{authorizer.HashKey(teamKey)},
			RequestsPerSecond: 100_000, Burst: 100_000, InFlightLimit: 1000,
		}},
		Grants: []validator.Grant{{
			Team: "franchisees", Service: "spares-app",
			Approval: approver.SignApproval(owner, "franchisees", "spares-app", "prakai", now.Add(time.Hour)),
		}},
		Limits: validator.Limits{MaxBodyBytes: 1 << 16, MaxTimeoutSeconds: 60, CrashQuarantineSeconds: 60},
	}
	p, err := accepter.NewProposal(nil, d)
	if err != nil {
		t.Fatal(err)
	}
	data, err := accepter.EncodeRecord(p)
	if err != nil {
		t.Fatal(err)
	}
	return singleDocumentLog{appender.Record{Time: now, Data: data}}
}
