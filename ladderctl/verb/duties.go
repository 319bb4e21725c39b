package verb

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/duties/describer"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// duties shows who has the duties of one host, as several hosts know it.
type duties struct {
	output
	Ready []starter.Address `help:"A host's readiness listener, IP:port. May be given often." required:""`
}

// dutiesTimeout bounds the wait for one host.
const dutiesTimeout = 5 * time.Second

// Help implements verb.
func (*duties) Help() string {
	return "The last calls are those of the host that is asked; a host that hasn't held the lease has none.\n\n" +
		"Example:\n  ladderctl duties --ready 127.0.0.1:7003 --ready 127.0.0.1:7013"
}

func (v *duties) run(s streams) (int, error) {
	var all []describer.Status
	for _, address := range v.Ready {
		var status describer.Status
		ctx, cancel := context.WithTimeout(context.Background(), dutiesTimeout)
		err := requester.New(string(address), "").DoJSON(ctx, fasthttp.MethodGet, "/duties", nil, &status)
		cancel()
		if err != nil {
			return starter.ExitFailure, err
		}
		all = append(all, status)
	}
	return starter.ExitOK, v.print(s, all, func(w io.Writer) { writeDuties(w, all) })
}

func writeDuties(w io.Writer, all []describer.Status) {
	fmt.Fprintln(w, "HOST\tDUTIES\tHOLDER\tTOKEN\tHELD FOR\tMAY ACT")
	for _, d := range all {
		fmt.Fprintf(w, "%s\t%v\t%s\t%d\t%s\t%t\n", d.Host, d.Duties, d.Holder, d.Token, d.HeldFor.Round(time.Second), d.Own)
	}
	fmt.Fprintln(w, "\nHOST\tLAST CALL\tAT\tTOKEN\tOUTCOME")
	for _, d := range all {
		if u := d.LastUsage; u != nil {
			fmt.Fprintf(w, "%s\tusage of window %d, digest %s\t%s\t%d\t%s\n", d.Host, u.Window, u.Digest, u.At.UTC().Format(time.RFC3339), u.Token, outcomeText(u.Error))
		}
		if o := d.LastScale; o != nil {
			fmt.Fprintf(w, "%s\t%d targets of %s in %s\t%s\t%d\t%s\n", d.Host, o.Targets, o.Service, o.Zone, o.At.UTC().Format(time.RFC3339), o.Token, outcomeText(o.Error))
		}
	}
}

func outcomeText(failure string) string {
	if failure == "" {
		return "acknowledged"
	}
	return failure
}
