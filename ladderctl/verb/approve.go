package verb

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// approve signs one grant with the owner's key and writes the document with
// it to standard output.
type approve struct {
	Document string        `arg:"" help:"The document's file."`
	Team     string        `help:"The team." required:""`
	Service  string        `help:"The service." required:""`
	KeyFile  string        `help:"The file with the owner's private key." required:""`
	For      time.Duration `help:"How long the approval holds." default:"8760h"`
}

func (a *approve) run(s streams) (int, error) {
	data, err := os.ReadFile(a.Document)
	if err != nil {
		return starter.ExitFailed, err
	}
	var d validator.Document
	if err := json.Unmarshal(data, &d); err != nil {
		return starter.ExitFailed, err
	}
	key, err := readPrivateKey(a.KeyFile)
	if err != nil {
		return starter.ExitFailed, err
	}
	service, ok := d.ServiceByName(identifier.ServiceName(a.Service))
	if !ok {
		return starter.ExitFailed, errors.Errorf("--service: %q is not in the document", a.Service)
	}
	g := validator.Grant{Team: identifier.TeamName(a.Team), Service: service.Name}
	g.Approval = approver.Approve(key, g.Team, g.Service, service.Owner, time.Now().Add(a.For))
	setGrant(&d, g)
	out, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return starter.ExitFailed, err
	}
	fmt.Fprintln(s.stdout, string(out))
	return starter.ExitOK, nil
}

func setGrant(d *validator.Document, g validator.Grant) {
	for n := range d.Grants {
		if d.Grants[n].Team == g.Team && d.Grants[n].Service == g.Service {
			d.Grants[n] = g
			return
		}
	}
	d.Grants = append(d.Grants, g)
}

func readPrivateKey(file string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("--key-file: %s has no owner's key", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
