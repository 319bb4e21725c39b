package verb

import (
	"fmt"
	"io"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// history shows the proposals that an entry still knows, the newest first.
type history struct {
	remote
	output
}

// Help implements verb.
func (*history) Help() string {
	return "Examples:\n  ladderctl history --operator 127.0.0.1:7003\n  ladderctl history --operator 127.0.0.1:7003 --output json"
}

func (h *history) run(s streams) (int, error) {
	var entries []historian.ProposalSummary
	if code, err := h.get("/v1/history", &entries); err != nil {
		return code, err
	}
	return starter.ExitOK, h.print(s, entries, func(w io.Writer) {
		fmt.Fprintln(w, "TIME\tAUTHOR\tVERDICT\tREVISION\tMADE FROM\tDOCUMENT")
		for _, e := range entries {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", e.Time.UTC().Format(time.RFC3339), e.Author, e.Verdict, e.Revision, e.Base, e.Document)
		}
	})
}
