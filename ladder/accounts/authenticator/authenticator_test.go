package authenticator

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
)

func TestAuthenticate(t *testing.T) {
	accounts := cataloger.NewAccounts(1)
	accounts.Add(cataloger.Account{Name: "a"}, []cataloger.KeyDigest{cataloger.NewKeyDigest("k")})
	inForce, none := &cataloger.Configuration{Accounts: accounts}, &cataloger.Configuration{}
	for name, c := range map[string]struct {
		configuration *cataloger.Configuration
		anonymous     bool
		credentials   Credentials
		account       string
		err           error
	}{
		"key":                     {inForce, false, NewKey("k"), "a", nil},
		"key, anonymous":          {inForce, true, NewKey("k"), "a", nil},
		"unknown":                 {inForce, false, NewKey("x"), "", ErrUnknownKey},
		"unknown, anonymous":      {inForce, true, NewKey("x"), "", ErrUnknownKey},
		"no key":                  {inForce, false, None{}, "", ErrNoKey},
		"no key, anonymous":       {inForce, true, None{}, "", nil},
		"malformed":               {inForce, true, Malformed{"m"}, "", ErrMalformed},
		"several":                 {inForce, true, Several{}, "", ErrSeveral},
		"not in force":            {none, false, None{}, "", nil},
		"not in force, malformed": {none, false, Malformed{"m"}, "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := Authenticate(c.configuration, c.anonymous, c.credentials)
			if string(a.Name) != c.account || !errors.Is(err, c.err) {
				t.Errorf("%q, %v", a.Name, err)
			}
		})
	}
}
