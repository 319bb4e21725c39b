package verb

import (
	"crypto/ed25519"
	"encoding/base64"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// changeOwnerKey replaces an owner's key in a document and signs the new key with
// the old one. It signs the owner's valid grants again with the same expiry, so
// that no team loses access.
type changeOwnerKey struct {
	Document   string `arg:"" help:"The document's file."`
	Owner      string `help:"The owner." required:""`
	OldKeyFile string `help:"The file with the private key in force." required:""`
	NewKeyFile string `help:"The file with the new private key." required:""`
}

// Help implements verb.
func (*changeOwnerKey) Help() string {
	return "Example:\n  ladderctl change-owner-key document.json --owner prakai --old-key-file owner.key --new-key-file next.key"
}

func (c *changeOwnerKey) run(s streams) (int, error) {
	d, err := readDraft(c.Document)
	if err != nil {
		return starter.ExitFailure, err
	}
	old, err := readPrivateKey("--old-key-file", c.OldKeyFile)
	if err != nil {
		return starter.ExitFailure, err
	}
	next, err := readPrivateKey("--new-key-file", c.NewKeyFile)
	if err != nil {
		return starter.ExitFailure, err
	}
	owner := identifier.OwnerName(c.Owner)
	var valid []int
	for n, g := range d.Grants {
		if g.Approval.Owner == owner && approver.VerifyGrant(&d, g, time.Now()) == nil {
			valid = append(valid, n)
		}
	}
	for n := range d.Owners {
		o := &d.Owners[n]
		if o.Name != owner {
			continue
		}
		o.PublicKey = base64.StdEncoding.EncodeToString(next.Public().(ed25519.PublicKey))
		o.KeyHandover = approver.SignKeyHandover(old, owner, o.PublicKey)
		for _, n := range valid {
			g := &d.Grants[n]
			g.Approval = approver.SignApproval(next, g.Team, g.Service, owner, g.Approval.Expires)
		}
		return starter.ExitOK, writeJSON(s, d)
	}
	return starter.ExitFailure, errors.Errorf("--owner: %q is not in the document", c.Owner)
}
