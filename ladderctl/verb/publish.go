package verb

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// publish sends a document to an entry and prints the verdict. The same file
// may be published again after a lost answer: its document id sees to it that
// it is accepted once.
type publish struct {
	remote
	Document string `arg:"" help:"The document's file."`
}

func (p *publish) run(s streams) (int, error) {
	d, code, err := readDocument(s, p.Document)
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	a, err := p.requester().Do(context.Background(), fasthttp.MethodPost, "/v1/documents", d)
	if err != nil {
		return exitLater, err
	}
	var result struct {
		Verdict  string              `json:"verdict"`
		Revision identifier.Revision `json:"revision"`
		Faults   validator.Faults    `json:"faults"`
		Reason   string              `json:"reason"`
	}
	if err := json.Unmarshal(a.Body, &result); err != nil {
		return starter.ExitFailed, err
	}
	fmt.Fprintf(s.stdout, "%s revision %d %s\n", result.Verdict, result.Revision, result.Reason)
	printFaults(s, result.Faults)
	switch a.Status {
	case fasthttp.StatusOK:
		return starter.ExitOK, nil
	case fasthttp.StatusUnprocessableEntity:
		return exitFaults, nil
	case fasthttp.StatusConflict:
		return exitConflict, nil
	case fasthttp.StatusServiceUnavailable:
		return exitLater, nil
	}
	return starter.ExitFailed, nil
}
