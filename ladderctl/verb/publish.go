package verb

import (
	"fmt"
	"io"

	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// publish sends a document to an entry and shows the verdict. After a lost response
// the same file can be published again: because of its document id it is accepted
// only once.
type publish struct {
	remote
	output
	Document string `arg:"" help:"The document's file."`
	Rebase   bool   `help:"After a lost race, put the change on top of the current revision where they don't touch."`
}

// Help implements verb.
func (*publish) Help() string {
	return "Examples:\n  ladderctl publish document.json --operator 127.0.0.1:7003\n" +
		"  ladderctl publish document.json --operator 127.0.0.1:7003 --rebase"
}

// maxRebases limits how often one command retries after a conflict.
const maxRebases = 5

func (p *publish) run(s streams) (int, error) {
	d, code, err := readValidDocument(s, p.Document)
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	response, err := p.post("/v1/documents", d)
	for n := 0; err == nil && p.Rebase && n < maxRebases && canRebase(response); n++ {
		response, err = p.post("/v1/documents", response.Conflict.Rebased)
	}
	if err != nil {
		return starter.ExitFailure, err
	}
	return exitCode(response.Verdict), p.print(s, response, func(w io.Writer) { writeResponse(w, response) })
}

// canRebase reports whether the response has the change rebased onto the current
// revision. It has none if both changes touch the same item.
func canRebase(r proposer.Response) bool { return r.Conflict != nil && r.Conflict.Rebased != nil }

// writeResponse writes a verdict with its details.
func writeResponse(w io.Writer, r proposer.Response) {
	fmt.Fprint(w, r.Verdict)
	if r.Revision > 0 {
		fmt.Fprintf(w, ": revision %d", r.Revision)
	}
	if r.Reason != "" {
		fmt.Fprintf(w, ": %s", r.Reason)
	}
	fmt.Fprintln(w)
	writeFaults(w, r.Faults)
	if r.Conflict == nil {
		return
	}
	fmt.Fprintln(w, "\nyour changes:")
	writeChanges(w, r.Conflict.Mine)
	fmt.Fprintf(w, "\ntheir changes, in force as revision %d:\n", r.Conflict.Current)
	writeChanges(w, r.Conflict.Theirs)
	for _, c := range r.Conflict.Clashes {
		fmt.Fprintf(w, "\nboth changed %s %s\n", c.Section, c.Name)
	}
	if canRebase(r) {
		fmt.Fprintln(w, "\nthey don't touch: publish again with --rebase")
	}
}
