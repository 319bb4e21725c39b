package runner

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Document is a configuration document.
type Document = validator.Document

// Names used in every document that NewDocument returns.
const (
	ServicePlain  identifier.ServiceName = "spares-app"
	ServiceEngine identifier.ServiceName = "advice-models"
	ModelAdvice   identifier.ModelName   = "advice"
)

// grantsPerTeam is the number of services that each team may call.
const grantsPerTeam = 2

// NewDocument returns a valid document, based on revision base, with the given
// number of teams. Each team has two approved grants.
func NewDocument(teams int, base identifier.Revision) Document {
	owner := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public := owner.Public().(ed25519.PublicKey)
	expires := time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
	d := Document{
		Schema: validator.SchemaName, ID: identifier.NewDocumentID(), Base: base, Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("operator")}},
		Owners:    []validator.Owner{{Name: "prakai", PublicKey: base64.StdEncoding.EncodeToString(public)}},
		Models:    []validator.Model{{Name: ModelAdvice, Trainer: TeamName(0), StalenessBound: 2, VersionsInPlay: 2}},
		Services: []validator.Service{
			{Name: ServicePlain, Kind: validator.KindPlain, Owner: "prakai", IdempotentCalls: []identifier.CallName{"lookup"}, Slots: 64, QueueLimit: 1024},
			{Name: ServiceEngine, Kind: validator.KindModelEngine, Owner: "prakai", Model: ModelAdvice, Slots: 64, QueueLimit: 4096},
		},
		Limits: validator.Limits{MaxBodyBytes: 1 << 20, MaxTimeoutSeconds: 600, CrashQuarantineSeconds: 60},
	}
	for n := range teams {
		d.Teams = append(d.Teams, validator.Team{
			Name: TeamName(n), Class: identifier.ClassLive, KeyHashes: []string{authorizer.HashKey(TeamKey(n))},
			RequestsPerSecond: 100_000, Burst: 100_000, InFlightLimit: 100_000,
		})
		for _, s := range d.Services[:grantsPerTeam] {
			d.Grants = append(d.Grants, validator.Grant{
				Team: TeamName(n), Service: s.Name,
				Approval: approver.SignApproval(owner, TeamName(n), s.Name, "prakai", expires),
			})
		}
	}
	return d
}

// TeamName returns the name of the nth team.
func TeamName(n int) identifier.TeamName { return identifier.TeamName(fmt.Sprintf("team-%d", n)) }

// TeamKey returns the API key of the nth team.
func TeamKey(n int) string { return fmt.Sprintf("key-%d", n) }

// EncodeProposal returns the log record that proposes document d as a change of
// base.
func EncodeProposal(base *Document, d Document) ([]byte, error) {
	p, err := accepter.NewProposal(base, d)
	if err != nil {
		return nil, err
	}
	return accepter.EncodeRecord(p)
}

// memoryLog is an in-memory log. It ignores stream names, since only the
// configuration stream is used.
type memoryLog struct {
	mutex   sync.Mutex
	records []appender.Record
	changed chan struct{}
	// last is the latest document, on which the next proposal is based.
	last *Document
}

func newMemoryLog() *memoryLog { return &memoryLog{changed: make(chan struct{})} }

func (l *memoryLog) appendProposal(d Document) error {
	data, err := EncodeProposal(l.last, d)
	if err != nil {
		return err
	}
	l.last = &d
	_, err = l.Append(context.Background(), appender.StreamConfiguration, [][]byte{data})
	return err
}

// Append implements appender.Log.
func (l *memoryLog) Append(_ context.Context, _ identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := identifier.LogOffset(len(l.records))
	for n, data := range records {
		l.records = append(l.records, appender.Record{Offset: first + identifier.LogOffset(n), Time: time.Now(), Data: data})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return first, nil
}

// Read implements appender.Log.
func (l *memoryLog) Read(ctx context.Context, _ identifier.StreamName, from identifier.LogOffset, _ int) (appender.Page, error) {
	for {
		l.mutex.Lock()
		next, changed := identifier.LogOffset(len(l.records)), l.changed
		var records []appender.Record
		if from < next {
			records = l.records[from:]
		}
		l.mutex.Unlock()
		if len(records) > 0 {
			return appender.Page{Next: next, Records: records}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return appender.Page{Next: next}, ctx.Err()
		}
	}
}
