package verb

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// newKey generates a key. It prints the secret on the first line, and on the second
// the key's hash or the public key, which goes into the document.
type newKey struct {
	Kind string `arg:"" help:"What the key is for: team, operator or owner." enum:"team,operator,owner"`
}

// Help implements verb.
func (*newKey) Help() string {
	return "The first line is the secret, the second what goes into the document.\n\n" +
		"Examples:\n  ladderctl new-key team\n  ladderctl new-key owner"
}

func (k *newKey) run(s streams) (int, error) {
	if k.Kind == "owner" {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return starter.ExitFailure, err
		}
		fmt.Fprintln(s.stdout, base64.StdEncoding.EncodeToString(private.Seed()))
		fmt.Fprintln(s.stdout, base64.StdEncoding.EncodeToString(public))
		return starter.ExitOK, nil
	}
	key := authorizer.NewKey()
	fmt.Fprintln(s.stdout, key)
	fmt.Fprintln(s.stdout, authorizer.HashKey(key))
	return starter.ExitOK, nil
}

// operatorByKey returns the operator of d that has the key.
func operatorByKey(d validator.Document, key string) (identifier.OperatorName, bool) {
	name, refusal := authorizer.AuthenticateOperator(&d, key)
	return name, refusal == authorizer.RefusalNone
}
