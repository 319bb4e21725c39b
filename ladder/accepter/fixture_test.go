package accepter

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var (
	ownerKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	epoch    = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	someHash = strings.Repeat("0a", 32)
)

// newDocument returns a valid document with the given numbers of teams,
// services and grants.
func newDocument(id string, base identifier.Revision, teams, services, grants int) validator.Document {
	d := validator.Document{
		Schema: validator.SchemaName, ID: identifier.DocumentID(id), Base: base, Author: "somchai",
		Operators: []validator.Operator{{Name: "somchai", KeyHash: someHash}},
		Owners:    []validator.Owner{{Name: "owner", PublicKey: base64.StdEncoding.EncodeToString(ownerKey.Public().(ed25519.PublicKey))}},
		Limits:    validator.Limits{MaxBodyBytes: 1 << 20, MaxTimeoutSeconds: 600, CrashQuarantineSeconds: 600},
	}
	for n := range services {
		d.Services = append(d.Services, validator.Service{Name: identifier.ServiceName(fmt.Sprintf("service-%d", n)), Kind: validator.KindPlain, Owner: "owner", Slots: 8, QueueLimit: 100})
	}
	for n := range teams {
		hash := fmt.Sprintf("%064x", n)
		d.Teams = append(d.Teams, validator.Team{Name: identifier.TeamName(fmt.Sprintf("team-%d", n)), Class: identifier.ClassLive, KeyHashes: []string{hash}, RequestsPerSecond: 10, Burst: 10, InFlightLimit: 10})
	}
	for n := range grants {
		team, service := d.Teams[n%teams].Name, d.Services[(n/teams)%services].Name
		a := approver.SignApproval(ownerKey, team, service, "owner", epoch.AddDate(100, 0, 0))
		d.Grants = append(d.Grants, validator.Grant{Team: team, Service: service, Approval: a})
	}
	return d
}

// testingT is implemented by *testing.T, *testing.B and *rapid.T.
type testingT interface {
	Helper()
	Fatal(arguments ...any)
}

func mustEncode(t testingT, r Record) []byte {
	t.Helper()
	data, err := EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func mustEncodeProposal(t testingT, base *validator.Document, d validator.Document) []byte {
	t.Helper()
	p, err := NewProposal(base, d)
	if err != nil {
		t.Fatal(err)
	}
	return mustEncode(t, p)
}

// sliceLog is a log in memory whose reads return at once. Records before first
// have expired.
type sliceLog struct {
	records []appender.Record
	first   identifier.LogOffset
}

func (l *sliceLog) Append(_ context.Context, _ identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	first := identifier.LogOffset(len(l.records))
	for _, data := range records {
		n := len(l.records)
		l.records = append(l.records, appender.Record{Offset: identifier.LogOffset(n), Time: epoch.Add(time.Duration(n) * time.Second), Data: data})
	}
	return first, nil
}

func (l *sliceLog) Read(_ context.Context, _ identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
	end := identifier.LogOffset(len(l.records))
	from = min(max(from, l.first), end)
	return appender.Page{FirstRetained: l.first, Next: end, Records: l.records[from:min(end, from+identifier.LogOffset(min(limit, 3)))]}, nil
}

// peersFunc implements Peers with a function.
type peersFunc func() (State, error)

func (p peersFunc) State(context.Context) (State, error) { return p() }

var errNoPeer = errors.New("no peer has a state")
