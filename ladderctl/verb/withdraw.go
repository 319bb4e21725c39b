package verb

import (
	"io"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// withdraw takes a grant out of what is in force: by an operator's key as a
// document without it, or by the owner's key as a signed word that an entry
// turns into one.
type withdraw struct {
	output
	Operator starter.Address `help:"An entry's operator listener, IP:port." required:""`
	Key      string          `help:"The operator's key."`
	KeyFile  string          `help:"The file with the owner's private key, in place of an operator's."`
	Document string          `help:"With --key-file: a file of the document that has the grant."`
	Team     string          `help:"The team." required:""`
	Service  string          `help:"The service." required:""`
}

// Help implements verb.
func (*withdraw) Help() string {
	return "Examples:\n  ladderctl withdraw --team fitters --service spares-app --operator 127.0.0.1:7003\n" +
		"  ladderctl withdraw --team fitters --service spares-app --operator 127.0.0.1:7003 --key-file owner.key --document current.json"
}

func (v *withdraw) run(s streams) (int, error) {
	var answer proposer.Response
	var code int
	var err error
	if v.KeyFile != "" {
		answer, code, err = v.asOwner()
	} else {
		answer, code, err = v.asOperator()
	}
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	return codeOf(answer.Verdict), v.print(s, answer, func(w io.Writer) { writeAnswer(w, answer) })
}

func (v *withdraw) grantIn(d validator.Document) (validator.Grant, error) {
	g, ok := d.GrantFor(identifier.TeamName(v.Team), identifier.ServiceName(v.Service))
	if !ok {
		return g, errors.Errorf("no grant of %s to %s is there", v.Service, v.Team)
	}
	return g, nil
}

func (v *withdraw) asOwner() (answer proposer.Response, code int, err error) {
	key, err := readPrivateKey("--key-file", v.KeyFile)
	if err != nil {
		return answer, starter.ExitFailure, err
	}
	d, err := readDraft(v.Document)
	if err != nil {
		return answer, starter.ExitFailure, errors.WithMessage(err, "--document")
	}
	g, err := v.grantIn(d)
	if err != nil {
		return answer, exitRefused, err
	}
	answer, err = remote{Operator: v.Operator}.post("/v1/withdrawals", approver.SignWithdrawal(key, g))
	return answer, starter.ExitOK, err
}

func (v *withdraw) asOperator() (answer proposer.Response, code int, err error) {
	entry := remote{v.Operator, v.Key}
	for range maxRebases {
		current, code, err := entry.inForce()
		if code != starter.ExitOK || err != nil {
			return answer, code, err
		}
		g, err := v.grantIn(current.Document)
		if err != nil {
			return answer, exitRefused, err
		}
		d := proposer.WithoutGrant(current.Document, g.Team, g.Service)
		d.ID, d.Base, d.Author = identifier.NewDocumentID(), current.Revision, current.Document.Author
		if name, ok := operatorOf(current.Document, v.Key); ok {
			d.Author = name
		}
		answer, err = entry.post("/v1/documents", d)
		if err != nil || answer.Verdict != "conflict" {
			return answer, starter.ExitOK, err
		}
	}
	return answer, starter.ExitOK, nil
}
