package verb

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// remote are the settings of verbs that talk to one entry.
type remote struct {
	Operator starter.Address `help:"An entry's operator listener, IP:port." required:""`
	Key      string          `help:"The operator's key." required:""`
}

// get reads path into out. An answer other than 200 gives its exit code and an
// error with its reason.
func (r remote) get(path string, out any) (int, error) {
	a, err := requester.New(string(r.Operator), r.Key).Do(context.Background(), fasthttp.MethodGet, path, nil)
	if err != nil {
		return starter.ExitFailure, err
	}
	if a.Status != fasthttp.StatusOK {
		var answer proposer.Response
		_ = json.Unmarshal(a.Body, &answer)
		return codeOf(answer.Verdict), errors.Errorf("entry %s: status %d: %s", r.Operator, a.Status, answer.Reason)
	}
	return starter.ExitOK, errors.Wrapf(json.Unmarshal(a.Body, out), "entry %s", r.Operator)
}

// post sends v and returns the entry's answer. No answer counts as undecided.
func (r remote) post(path string, v any) (answer proposer.Response, err error) {
	a, err := requester.New(string(r.Operator), r.Key).Do(context.Background(), fasthttp.MethodPost, path, v)
	if err != nil {
		return proposer.Response{Verdict: "undecided", Reason: err.Error()}, nil
	}
	if err := json.Unmarshal(a.Body, &answer); err != nil {
		return answer, errors.Wrapf(err, "entry %s: status %d", r.Operator, a.Status)
	}
	return answer, nil
}

// revision is a document with its revision, as an entry gives it.
type revision struct {
	Revision identifier.Revision `json:"revision"`
	Document validator.Document  `json:"document"`
}

func (r remote) inForce() (d revision, code int, err error) {
	code, err = r.get("/v1/document", &d)
	return d, code, err
}

// codeOf gives the exit code of each verdict.
func codeOf(verdict string) int {
	switch verdict {
	case "accepted":
		return starter.ExitOK
	case "invalid":
		return exitFaults
	case "conflict":
		return exitConflict
	case "undecided":
		return exitLater
	case "refused":
		return exitRefused
	}
	return starter.ExitFailure
}
