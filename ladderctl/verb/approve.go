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

// approve signs a grant with the owner's key. It writes the document with the
// grant, or only the approval, to standard output.
type approve struct {
	Document string        `arg:"" help:"The document's file."`
	Team     string        `help:"The team." required:""`
	Service  string        `help:"The service." required:""`
	KeyFile  string        `help:"The file with the owner's private key." required:""`
	For      time.Duration `help:"How long the approval holds." default:"8760h"`
	Until    time.Time     `help:"When the approval ends, as in 2030-01-31T12:00:00Z; goes before --for."`
	Alone    bool          `help:"Write only the approval, to paste into the console."`
}

// Help implements verb.
func (*approve) Help() string {
	return "Examples:\n  ladderctl approve document.json --team fitters --service spares-app --key-file owner.key\n" +
		"  ladderctl approve document.json --team fitters --service spares-app --key-file owner.key --alone"
}

func (a *approve) run(s streams) (int, error) {
	d, err := readDraft(a.Document)
	if err != nil {
		return starter.ExitFailure, err
	}
	key, err := readPrivateKey("--key-file", a.KeyFile)
	if err != nil {
		return starter.ExitFailure, err
	}
	service, ok := d.ServiceByName(identifier.ServiceName(a.Service))
	if !ok {
		return starter.ExitFailure, errors.Errorf("--service: %q is not in the document", a.Service)
	}
	if _, ok := d.TeamByName(identifier.TeamName(a.Team)); !ok {
		return starter.ExitFailure, errors.Errorf("--team: %q is not in the document", a.Team)
	}
	if a.Until.IsZero() {
		a.Until = time.Now().Add(a.For)
	}
	g := validator.Grant{Team: identifier.TeamName(a.Team), Service: service.Name}
	g.Approval = approver.SignApproval(key, g.Team, g.Service, service.Owner, a.Until)
	if err := approver.VerifyGrant(&d, g, time.Now()); err != nil {
		return starter.ExitFailure, errors.WithMessagef(err, "--key-file %s", a.KeyFile)
	}
	if a.Alone {
		return starter.ExitOK, writeJSON(s, g.Approval)
	}
	setGrant(&d, g)
	return starter.ExitOK, writeJSON(s, d)
}

// readDraft reads a document without validating its content. The file must be JSON
// of the document's form.
func readDraft(file string) (d validator.Document, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return d, err
	}
	return d, errors.WithMessage(json.Unmarshal(data, &d), file)
}

func writeJSON(s streams, v any) error {
	out, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(s.stdout, string(out))
	return nil
}

// setGrant replaces the grant of the same team and service, or appends g.
func setGrant(d *validator.Document, g validator.Grant) {
	for n := range d.Grants {
		if d.Grants[n].Team == g.Team && d.Grants[n].Service == g.Service {
			d.Grants[n] = g
			return
		}
	}
	d.Grants = append(d.Grants, g)
}

// readPrivateKey reads a private key from the first line of a file with the output
// of new-key. setting is the flag to name in an error.
func readPrivateKey(setting, file string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	line, _, _ := strings.Cut(string(data), "\n")
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("%s: %s has no owner's private key", setting, file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
