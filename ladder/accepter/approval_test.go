package accepter_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

var noon = time.Date(2030, 1, 31, 12, 0, 0, 0, time.UTC)

// testKey derives an owner key from the name, so that it is the same in every
// run.
func testKey(name string) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(name, ed25519.SeedSize)[:ed25519.SeedSize]))
}

func testOwner(name, key string) validator.Owner {
	public := testKey(key).Public().(ed25519.PublicKey)
	return validator.Owner{Name: identifier.OwnerName(name), PublicKey: base64.StdEncoding.EncodeToString(public)}
}

// document returns a document with two owners, their services, two teams and
// the given grants.
func document(base identifier.Revision, id string, grants ...validator.Grant) validator.Document {
	service := func(name, owner string) validator.Service {
		return validator.Service{
			Name: identifier.ServiceName(name), Kind: validator.KindPlain, Owner: identifier.OwnerName(owner), Slots: 1,
		}
	}
	team := func(name string) validator.Team {
		return validator.Team{
			Name: identifier.TeamName(name), Class: identifier.ClassLive, KeyHashes: []string{authorizer.HashKey(name)},
			RequestsPerSecond: 1, Burst: 1, InFlightLimit: 1,
		}
	}
	return validator.Document{
		Schema: validator.SchemaName, ID: identifier.DocumentID(id), Base: base, Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("operator")}},
		Owners:    []validator.Owner{testOwner("prakai", "prakai"), testOwner("pindan", "pindan")},
		Services:  []validator.Service{service("spares-app", "prakai"), service("stock-app", "prakai"), service("depot-desk", "pindan")},
		Teams:     []validator.Team{team("franchisees"), team("riders")},
		Grants:    grants,
		Limits:    validator.Limits{MaxBodyBytes: 1, MaxTimeoutSeconds: 1, CrashQuarantineSeconds: 1},
	}
}

// approvedGrant returns the grant of spares-app to franchisees, signed with
// the named key.
func approvedGrant(key string, expires time.Time) validator.Grant {
	return validator.Grant{
		Team: "franchisees", Service: "spares-app",
		Approval: approver.SignApproval(testKey(key), "franchisees", "spares-app", "prakai", expires),
	}
}

// apply applies the documents in order, with log timestamps one hour apart,
// and returns the final state and the last verdict.
func apply(t *testing.T, documents ...validator.Document) (s accepter.State, v accepter.Verdict) {
	t.Helper()
	for n, d := range documents {
		p, err := accepter.NewProposal(s.Document, d)
		if err != nil {
			t.Fatal(err)
		}
		data, err := accepter.EncodeRecord(p)
		if err != nil {
			t.Fatal(err)
		}
		s, v = s.Apply(appender.Record{Offset: identifier.LogOffset(n), Time: noon.Add(time.Duration(n) * time.Hour), Data: data})
	}
	return s, v
}

func TestApply_RequiresOwnerApprovalOfExactGrant(t *testing.T) {
	later := noon.Add(time.Minute)
	good := approvedGrant("prakai", later)
	change := func(change func(*validator.Grant)) validator.Grant {
		g := good
		change(&g)
		return g
	}
	for name, c := range map[string]struct {
		grant validator.Grant
		fault string
	}{
		"the owner's own": {good, ""},
		"none":            {validator.Grant{Team: "franchisees", Service: "spares-app"}, "not approved yet"},
		"copied to another team": {
			change(func(g *validator.Grant) { g.Team = "riders" }), "signature doesn't match",
		},
		"copied to another service of the owner": {
			change(func(g *validator.Grant) { g.Service = "stock-app" }), "signature doesn't match",
		},
		"copied to another owner's service": {
			change(func(g *validator.Grant) { g.Service = "depot-desk" }), `approved by "prakai", owner is "pindan"`,
		},
		"renamed for another owner's service": {
			change(func(g *validator.Grant) { g.Service, g.Approval.Owner = "depot-desk", "pindan" }), "signature doesn't match",
		},
		"altered to last longer": {
			change(func(g *validator.Grant) { g.Approval.Expires = later.Add(time.Hour) }), "signature doesn't match",
		},
		"altered by less than a second": {
			change(func(g *validator.Grant) { g.Approval.Expires = later.Add(time.Millisecond) }), "signature doesn't match",
		},
		"expired to the second":      {approvedGrant("prakai", noon), "approval expired at 2030-01-31T12:00:00Z"},
		"signed with another's key":  {approvedGrant("pindan", later), "signature doesn't match"},
		"signed with an unknown key": {approvedGrant("mallory", later), "signature doesn't match"},
		"with a zero-filled signature": {
			change(func(g *validator.Grant) {
				g.Approval.Signature = base64.StdEncoding.EncodeToString(make([]byte, ed25519.SignatureSize))
			}), "signature doesn't match",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, v := apply(t, document(0, "first", c.grant))
			want := accepter.Verdict(accepter.Accepted{Revision: 1})
			if c.fault != "" {
				want = accepter.Invalid{Faults: validator.Faults{{
					Path:    "grants[0].approval",
					Value:   "grant of " + string(c.grant.Service) + " to " + string(c.grant.Team) + ": " + c.fault,
					Allowed: "a current approval of the service's owner",
				}}}
			}
			if diff := cmp.Diff(want, v); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
			if (s.Revision == 1) != (c.fault == "") {
				t.Errorf("revision %d after %+v", s.Revision, v)
			}
		})
	}
}

// An unchanged grant stays in the document, but its approval is checked at
// each call.
func TestApply_LaterChangesRefuseNextCall(t *testing.T) {
	later := noon.Add(90 * time.Minute)
	grant := approvedGrant("prakai", later)
	rotated := document(1, "second", grant)
	rotated.Owners[0] = ownerWithNewKey("prakai")
	rotatedAndSigned := document(1, "second", approvedGrant("next", later))
	rotatedAndSigned.Owners[0] = ownerWithNewKey("prakai")
	for name, c := range map[string]struct {
		second validator.Document
		at     time.Time
		want   authorizer.Refusal
	}{
		"nothing changed":                     {document(1, "second", grant), later.Add(-time.Second), authorizer.RefusalNone},
		"the approval has expired":            {document(1, "second", grant), later, authorizer.RefusalNotApproved},
		"the grant is withdrawn":              {document(1, "second"), noon, authorizer.RefusalNotApproved},
		"the owner's key has changed":         {rotated, noon, authorizer.RefusalNotApproved},
		"the new key has signed the approval": {rotatedAndSigned, noon, authorizer.RefusalNone},
		"another team's key is being rotated": {documentWithSecondKey(grant, 1), noon, authorizer.RefusalNone},
		"the team's own key is being rotated": {documentWithSecondKey(grant, 0), noon, authorizer.RefusalNone},
	} {
		t.Run(name, func(t *testing.T) {
			s, v := apply(t, document(0, "first", grant), c.second)
			if diff := cmp.Diff(accepter.Verdict(accepter.Accepted{Revision: 2}), v); diff != "" {
				t.Fatalf("verdict (-want +got):\n%s", diff)
			}
			_, got := authorizer.NewIndex(s.Document, nil).AuthorizeService("franchisees", "spares-app", c.at)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
		})
	}
}

// ownerWithNewKey returns the owner prakai with a new public key, whose
// handover is signed with the key named signer.
func ownerWithNewKey(signer string) validator.Owner {
	o := testOwner("prakai", "next")
	o.KeyHandover = approver.SignKeyHandover(testKey(signer), "prakai", o.PublicKey)
	return o
}

// An operator who could replace the key of an owner, or the owner of a
// service, could approve any team.
func TestApply_OperatorCannotTakeOverService(t *testing.T) {
	later := noon.Add(24 * time.Hour)
	const handover, owner = "owners[0].key-handover", "services[0].owner"
	for name, c := range map[string]struct {
		change func(*validator.Document)
		fault  string
	}{
		"a key without a handover": {func(d *validator.Document) { d.Owners[0] = testOwner("prakai", "next") }, handover},
		"a key that itself signed": {func(d *validator.Document) { d.Owners[0] = ownerWithNewKey("next") }, handover},
		"another owner's handover": {func(d *validator.Document) { d.Owners[0] = ownerWithNewKey("pindan") }, handover},
		"a handover of another new key": {func(d *validator.Document) {
			d.Owners[0] = ownerWithNewKey("prakai")
			d.Owners[0].PublicKey = testOwner("prakai", "mallory").PublicKey
		}, handover},
		"the service given to another":   {func(d *validator.Document) { d.Services[0].Owner = "pindan" }, owner},
		"the old key's handover":         {func(d *validator.Document) { d.Owners[0] = ownerWithNewKey("prakai") }, ""},
		"the service removed for a time": {func(d *validator.Document) { d.Services = d.Services[1:] }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			second := document(1, "second")
			c.change(&second)
			_, v := apply(t, document(0, "first", approvedGrant("prakai", later)), second)
			got := ""
			if invalid, ok := v.(accepter.Invalid); ok {
				got = invalid.Faults[0].Path
			}
			if diff := cmp.Diff(c.fault, got); diff != "" {
				t.Errorf("fault of %+v (-want +got):\n%s", v, diff)
			}
		})
	}
}

func TestVerifyWithdrawal_OnlyOwnerAndOnlyThisApproval(t *testing.T) {
	grant := approvedGrant("prakai", noon)
	d := document(0, "first", grant)
	again := document(0, "first", approvedGrant("prakai", noon.Add(time.Hour)))
	without := document(0, "first")
	w := approver.SignWithdrawal(testKey("prakai"), grant)
	for name, c := range map[string]struct {
		document   validator.Document
		withdrawal approver.Withdrawal
		want       bool
	}{
		"the owner's own":                             {d, w, true},
		"another owner's":                             {d, approver.SignWithdrawal(testKey("pindan"), grant), false},
		"a copy after a new approval":                 {again, w, false},
		"a copy after the grant was removed":          {without, w, false},
		"the approval's own signature":                {d, approver.Withdrawal{Team: w.Team, Service: w.Service, ApprovalSignature: w.ApprovalSignature, Signature: w.ApprovalSignature}, false},
		"altered to withdraw another team's approval": {d, approver.Withdrawal{Team: "riders", Service: w.Service, ApprovalSignature: w.ApprovalSignature, Signature: w.Signature}, false},
	} {
		_, owners := approver.VerifyWithdrawal(&c.document, c.withdrawal)
		if got := owners && c.withdrawal.AppliesTo(&c.document); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

// documentWithSecondKey returns a document in which the nth team has two keys,
// as during a key rotation.
func documentWithSecondKey(g validator.Grant, n int) validator.Document {
	d := document(1, "second", g)
	d.Teams[n].KeyHashes = append(d.Teams[n].KeyHashes, authorizer.HashKey("next"))
	return d
}

func TestAuthenticateTeam_AcceptsBothKeysDuringRotation(t *testing.T) {
	d := documentWithSecondKey(approvedGrant("prakai", noon), 0)
	for key, want := range map[string]authorizer.Refusal{
		"franchisees": authorizer.RefusalNone, "next": authorizer.RefusalNone,
		"": authorizer.RefusalKeyMissing, "operator": authorizer.RefusalKeyUnknown,
	} {
		if _, got := authorizer.NewIndex(&d, nil).AuthenticateTeam(key); got != want {
			t.Errorf("key %q: %q, want %q", key, got, want)
		}
	}
	d.Teams[0].KeyHashes = d.Teams[0].KeyHashes[1:]
	if _, got := authorizer.NewIndex(&d, nil).AuthenticateTeam("franchisees"); got != authorizer.RefusalKeyUnknown {
		t.Errorf("the old key after the rotation: %q", got)
	}
}
