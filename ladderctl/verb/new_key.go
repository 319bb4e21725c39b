package verb

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// newKey prints a secret and what stands for it in the document, each on a
// line of its own.
type newKey struct {
	Kind string `arg:"" help:"What the key is for: team, operator or owner." enum:"team,operator,owner"`
}

// keyBytes is the length of a team's or operator's key.
const keyBytes = 32

func (k *newKey) run(s streams) (int, error) {
	if k.Kind == "owner" {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return starter.ExitFailed, err
		}
		fmt.Fprintln(s.stdout, base64.StdEncoding.EncodeToString(private.Seed()))
		fmt.Fprintln(s.stdout, base64.StdEncoding.EncodeToString(public))
		return starter.ExitOK, nil
	}
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		return starter.ExitFailed, err
	}
	key := base64.RawURLEncoding.EncodeToString(secret)
	fmt.Fprintln(s.stdout, key)
	fmt.Fprintln(s.stdout, authorizer.HashKey(key))
	return starter.ExitOK, nil
}
