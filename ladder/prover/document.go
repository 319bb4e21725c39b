package prover

import (
	"crypto/ed25519"
	"encoding/base64"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Names and keys that the deployments of all scenarios use.
const (
	model          identifier.ModelName   = "advice"
	engineService  identifier.ServiceName = "advice-models"
	plainService   identifier.ServiceName = "spares-app"
	liveTeam       identifier.TeamName    = "spares-desk"
	trainerTeam    identifier.TeamName    = "advice-trainer"
	owner          identifier.OwnerName   = "platform-owner"
	operator                              = "operator-one"
	liveKey                               = "live-key"
	trainerKey                            = "trainer-key"
	operatorKey                           = "operator-key"
	callReserve    identifier.CallName    = "reserve"
	callGenerate   identifier.CallName    = "generate"
	grantValidity                         = 10 * 365 * 24 * time.Hour
	maxTimeoutSecs                        = 60
)

// documentOf returns a valid configuration document for the deployment.
func documentOf(o Options, now time.Time) validator.Document {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	d := validator.Document{
		Schema: validator.SchemaName, ID: "document-1", Author: operator,
		Operators: []validator.Operator{{Name: operator, KeyHash: authorizer.HashKey(operatorKey)}},
		Owners: []validator.Owner{{
			Name: owner, PublicKey: base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey)),
		}},
		Models: []validator.Model{{Name: model, Trainer: trainerTeam, StalenessBound: o.StalenessBound, VersionsInPlay: 2}},
		Services: []validator.Service{
			{
				Name: engineService, Kind: validator.KindModelEngine, Owner: owner, Model: model,
				FencingChecked: o.FencingChecked, Slots: 4, QueueLimit: 8, AwayPercent: 50,
			},
			{Name: plainService, Kind: validator.KindPlain, Owner: owner, Slots: 2, QueueLimit: 4},
		},
		Teams: []validator.Team{
			teamOf(liveTeam, identifier.ClassLive, liveKey),
			teamOf(trainerTeam, identifier.ClassRollout, trainerKey),
		},
		Limits: validator.Limits{MaxBodyBytes: 1 << 16, MaxTimeoutSeconds: maxTimeoutSecs, CrashQuarantineSeconds: 60},
	}
	for _, t := range d.Teams {
		for _, s := range d.Services {
			approval := approver.SignApproval(key, t.Name, s.Name, owner, now.Add(grantValidity))
			d.Grants = append(d.Grants, validator.Grant{Team: t.Name, Service: s.Name, Approval: approval})
		}
	}
	return d
}

func teamOf(name identifier.TeamName, class identifier.PriorityClass, key string) validator.Team {
	return validator.Team{
		Name: name, Class: class, KeyHashes: []string{authorizer.HashKey(key)},
		RequestsPerSecond: 100, Burst: 100, InFlightLimit: 16,
	}
}

// proposalRecord returns the log record that proposes the first document.
func proposalRecord(d validator.Document) ([]byte, error) {
	p, err := accepter.NewProposal(nil, d)
	if err != nil {
		return nil, err
	}
	return accepter.EncodeRecord(p)
}
