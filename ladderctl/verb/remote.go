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

// remote holds the settings of verbs that send requests to one entry.
type remote struct {
	Operator starter.Address `help:"An entry's operator listener, IP:port." required:""`
	Key      string          `help:"The operator's key." required:""`
}

// get decodes the response for path into out. For a status other than 200 it
// returns the verdict's exit code and an error with the reason.
func (r remote) get(path string, out any) (int, error) {
	response, err := requester.New(string(r.Operator), r.Key).Do(context.Background(), fasthttp.MethodGet, path, nil)
	if err != nil {
		return starter.ExitFailure, err
	}
	if response.Status != fasthttp.StatusOK {
		var refusal proposer.Response
		_ = json.Unmarshal(response.Body, &refusal)
		return exitCode(refusal.Verdict), errors.Errorf("entry %s: status %d: %s", r.Operator, response.Status, refusal.Reason)
	}
	return starter.ExitOK, errors.Wrapf(json.Unmarshal(response.Body, out), "entry %s", r.Operator)
}

// post sends v and returns the entry's verdict. If there is no response, the
// verdict is "undecided", since the entry may have handled the request.
func (r remote) post(path string, v any) (verdict proposer.Response, err error) {
	response, err := requester.New(string(r.Operator), r.Key).Do(context.Background(), fasthttp.MethodPost, path, v)
	if err != nil {
		return proposer.Response{Verdict: "undecided", Reason: err.Error()}, nil
	}
	if err := json.Unmarshal(response.Body, &verdict); err != nil {
		return verdict, errors.Wrapf(err, "entry %s: status %d", r.Operator, response.Status)
	}
	return verdict, nil
}

// documentRevision is the body of an entry's response to a request for a document.
type documentRevision struct {
	Revision identifier.Revision `json:"revision"`
	Document validator.Document  `json:"document"`
}

func (r remote) documentInForce() (d documentRevision, code int, err error) {
	code, err = r.get("/v1/document", &d)
	return d, code, err
}

// exitCode returns the exit code for a verdict.
func exitCode(verdict string) int {
	switch verdict {
	case "accepted":
		return starter.ExitOK
	case "invalid":
		return exitFaults
	case "conflict":
		return exitConflict
	case "undecided":
		return exitUndecided
	case "refused":
		return exitRefused
	}
	return starter.ExitFailure
}
