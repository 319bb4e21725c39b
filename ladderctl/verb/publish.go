package verb

import (
	"fmt"
	"io"

	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// publish sends a document to an entry and shows the verdict. The same file
// may be published again after a lost answer: its document id sees to it that
// it is accepted once.
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

// maxRebases bounds the races that one publish may lose.
const maxRebases = 5

func (p *publish) run(s streams) (int, error) {
	d, code, err := readValid(s, p.Document)
	if code != starter.ExitOK || err != nil {
		return code, err
	}
	answer, err := p.post("/v1/documents", d)
	for n := 0; err == nil && p.Rebase && n < maxRebases && rebased(answer); n++ {
		answer, err = p.post("/v1/documents", answer.Conflict.Rebased)
	}
	if err != nil {
		return starter.ExitFailure, err
	}
	return codeOf(answer.Verdict), p.print(s, answer, func(w io.Writer) { writeAnswer(w, answer) })
}

func rebased(a proposer.Response) bool { return a.Conflict != nil && a.Conflict.Rebased != nil }

// writeAnswer shows a verdict with all that it says.
func writeAnswer(w io.Writer, a proposer.Response) {
	fmt.Fprint(w, a.Verdict)
	if a.Revision > 0 {
		fmt.Fprintf(w, ": revision %d", a.Revision)
	}
	if a.Reason != "" {
		fmt.Fprintf(w, ": %s", a.Reason)
	}
	fmt.Fprintln(w)
	writeFaults(w, a.Faults)
	if a.Conflict == nil {
		return
	}
	fmt.Fprintln(w, "\nyour changes:")
	writeChanges(w, a.Conflict.Mine)
	fmt.Fprintf(w, "\ntheir changes, in force as revision %d:\n", a.Conflict.Current)
	writeChanges(w, a.Conflict.Theirs)
	for _, c := range a.Conflict.Clashes {
		fmt.Fprintf(w, "\nboth changed %s %s\n", c.Section, c.Name)
	}
	if rebased(a) {
		fmt.Fprintln(w, "\nthey don't touch: publish again with --rebase")
	}
}
