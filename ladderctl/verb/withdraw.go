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

// withdraw removes a grant from the document in force. With an operator's key it
// publishes a document without the grant. With the owner's key it sends a signed
// withdrawal, from which the entry makes that document.
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
	var response proposer.Response
	var code int
	var err error
	if v.KeyFile != "" {
		response, code, err = v.withdrawAsOwner()
	} else {
		response, code, err = v.withdrawAsOperator()
	}
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	return exitCode(response.Verdict), v.print(s, response, func(w io.Writer) { writeResponse(w, response) })
}

// findGrant returns the grant of the service to the team from d.
func (v *withdraw) findGrant(d validator.Document) (validator.Grant, error) {
	g, ok := d.GrantFor(identifier.TeamName(v.Team), identifier.ServiceName(v.Service))
	if !ok {
		return g, errors.Errorf("no grant of %s to %s is there", v.Service, v.Team)
	}
	return g, nil
}

func (v *withdraw) withdrawAsOwner() (response proposer.Response, code int, err error) {
	key, err := readPrivateKey("--key-file", v.KeyFile)
	if err != nil {
		return response, starter.ExitFailure, err
	}
	d, err := readDraft(v.Document)
	if err != nil {
		return response, starter.ExitFailure, errors.WithMessage(err, "--document")
	}
	g, err := v.findGrant(d)
	if err != nil {
		return response, exitRefused, err
	}
	response, err = remote{Operator: v.Operator}.post("/v1/withdrawals", approver.SignWithdrawal(key, g))
	return response, starter.ExitOK, err
}

func (v *withdraw) withdrawAsOperator() (response proposer.Response, code int, err error) {
	entry := remote{v.Operator, v.Key}
	for range maxRebases {
		current, code, err := entry.documentInForce()
		if code != starter.ExitOK || err != nil {
			return response, code, err
		}
		g, err := v.findGrant(current.Document)
		if err != nil {
			return response, exitRefused, err
		}
		d := proposer.WithoutGrant(current.Document, g.Team, g.Service)
		d.ID, d.Base, d.Author = identifier.NewDocumentID(), current.Revision, current.Document.Author
		if name, ok := operatorByKey(current.Document, v.Key); ok {
			d.Author = name
		}
		response, err = entry.post("/v1/documents", d)
		if err != nil || response.Verdict != "conflict" {
			return response, starter.ExitOK, err
		}
	}
	return response, starter.ExitOK, nil
}
