// Package authenticator decides which client account a request belongs to, and whether it is
// served at all, under a configuration.
package authenticator

import (
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
)

// Credentials are what a request presents: None, Key, Malformed or Several.
//
//sumtype:decl
type Credentials interface{ credentials() }

// None means that the request presents nothing.
type None struct{}

// Malformed credentials can't be read.
type Malformed struct {
	// Reason does not contain what was presented.
	Reason string
}

// Several means that the request presents more than one credential.
type Several struct{}

// Key is the key of an account. Only its digest is kept, so that it can't be printed.
type Key struct{ digest cataloger.KeyDigest }

// NewKey returns credentials with a key.
func NewKey(text string) Key { return Key{digest: cataloger.NewKeyDigest(text)} }

func (None) credentials()      {}
func (Key) credentials()       {}
func (Malformed) credentials() {}
func (Several) credentials()   {}

var (
	// ErrNoKey means that a request needs a key and has none.
	ErrNoKey = errors.New("a key is required")
	// ErrUnknownKey means that no account has the key.
	ErrUnknownKey = errors.New("the key is unknown")
	// ErrMalformed means that the credentials can't be read.
	ErrMalformed = errors.New("malformed credentials")
	// ErrSeveral means that a request presents more than one credential, so that it is unclear
	// to which account it belongs.
	ErrSeveral = errors.New("several credentials")
)

// Authenticate returns the account of a request, which is empty for an anonymous request and
// where no accounts are in force. anonymous says whether the request is served without a key. Errors
// contain nothing of what was presented.
func Authenticate(c *cataloger.Configuration, anonymous bool, cr Credentials) (a cataloger.Account, err error) {
	if !c.HasAccounts() {
		return a, nil
	}
	switch cr := cr.(type) {
	case Key:
		if a, ok := c.AccountOfDigest(cr.digest); ok {
			return a, nil
		}
		return a, ErrUnknownKey
	case Malformed:
		return a, errors.WithMessage(ErrMalformed, cr.Reason)
	case Several:
		return a, ErrSeveral
	case None:
	}
	if !anonymous {
		return a, ErrNoKey
	}
	return a, nil
}
