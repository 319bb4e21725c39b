package verb

import (
	"fmt"
	"io"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// explain shows the decision about a request from the first entry that knows it.
// Callers find the request's id in the X-Request-Id header of the response.
type explain struct {
	output
	Request  string            `arg:"" help:"The request's id."`
	Operator []starter.Address `help:"An entry's operator listener, IP:port. May be given often." required:""`
	Key      string            `help:"The operator's key." required:""`
}

// Help implements verb.
func (*explain) Help() string {
	return "An entry remembers its newest decisions only, without bodies, keys or prompts.\n\n" +
		"Example:\n  ladderctl explain 0190b3a0-0000-7000-8000-000000000001 --operator 127.0.0.1:7003 --operator 127.0.0.1:7013"
}

// explanation is the body of an entry's response.
type explanation struct {
	Entry    identifier.EntryName `json:"entry"`
	Decision explainer.Decision   `json:"decision"`
	Meaning  explainer.Meaning    `json:"meaning"`
}

func (e *explain) run(s streams) (code int, err error) {
	for _, address := range e.Operator {
		var found explanation
		code, err = remote{address, e.Key}.get("/v1/requests/"+e.Request, &found)
		if err == nil {
			return starter.ExitOK, e.print(s, found, func(w io.Writer) { writeExplanation(w, found) })
		}
	}
	return code, err
}

func writeExplanation(w io.Writer, e explanation) {
	d := e.Decision
	fmt.Fprintf(w, "request\t%s\n", d.Request)
	fmt.Fprintf(w, "entry\t%s at %s, by revision %d\n", e.Entry, d.At.UTC().Format(time.RFC3339), d.Revision)
	fmt.Fprintf(w, "asked\t%s/%s by team %q, class %q\n", d.Service, d.Call, d.Team, d.Class)
	fmt.Fprintf(w, "outcome\t%s %s after %s\n", d.Outcome, d.Code, d.Took.Round(time.Millisecond))
	if d.Target != "" {
		fmt.Fprintf(w, "target\t%s answered with status %d\n", d.Target, d.Status)
	}
	if d.Code != "" {
		fmt.Fprintf(w, "meaning\t%s\n", e.Meaning.Meaning)
		fmt.Fprintf(w, "to do\t%s\n", e.Meaning.Action)
	}
	if d.RetryAfter > 0 {
		fmt.Fprintf(w, "come back\tafter %s\n", d.RetryAfter)
	}
}
