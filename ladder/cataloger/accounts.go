package cataloger

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Account is a client account of the configuration.
type Account struct {
	// Name is not empty.
	Name identifier.AccountName
	// Priority replaces the priority of the route; nil leaves that of the route.
	Priority *int
}

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of a key.
func NewKeyDigest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// prefix is what the table of keys is indexed by.
func (d KeyDigest) prefix() uint64 { return binary.BigEndian.Uint64(d[:]) }

// Accounts has the accounts of a configuration and the digests of their keys. It must not be
// changed once its configuration is in force.
type Accounts struct {
	byName map[identifier.AccountName]Account
	// byDigest maps the first bytes of a digest to the keys whose digests begin with them.
	byDigest map[uint64][]accountKey
}

type accountKey struct {
	digest  KeyDigest
	account identifier.AccountName
}

// usualKeys is the number of keys that most accounts have: the current one and its successor.
const usualKeys = 2

// NewAccounts returns Accounts without any, with room for a number of them.
func NewAccounts(count int) *Accounts {
	return &Accounts{byName: make(map[identifier.AccountName]Account, count), byDigest: make(map[uint64][]accountKey, usualKeys*count)}
}

// Add adds an account and the digests of its keys. An account or key that was added before
// stays as it is; further keys of an account are added to it.
func (a *Accounts) Add(account Account, keys []KeyDigest) {
	if _, known := a.byName[account.Name]; !known {
		a.byName[account.Name] = account
	}
	for _, digest := range keys {
		if _, known := a.find(digest); !known {
			a.byDigest[digest.prefix()] = append(a.byDigest[digest.prefix()], accountKey{digest, account.Name})
		}
	}
}

// Len returns the number of accounts.
func (a *Accounts) Len() int {
	if a == nil {
		return 0
	}
	return len(a.byName)
}

// find compares whole digests in constant time, so that response times don't tell how much of a
// digest was right.
func (a *Accounts) find(digest KeyDigest) (name identifier.AccountName, ok bool) {
	for _, k := range a.byDigest[digest.prefix()] {
		if subtle.ConstantTimeCompare(k.digest[:], digest[:]) == 1 {
			return k.account, true
		}
	}
	return "", false
}

// HasAccounts reports whether accounts are in force. They may be in force without there being
// any, in which case only anonymous requests are served.
func (c *Configuration) HasAccounts() bool { return c != nil && c.Accounts != nil }

// AccountOf returns the account that has a key.
func (c *Configuration) AccountOf(key string) (Account, bool) {
	return c.AccountOfDigest(NewKeyDigest(key))
}

// AccountOfDigest returns the account that has the key with a digest.
func (c *Configuration) AccountOfDigest(digest KeyDigest) (Account, bool) {
	if !c.HasAccounts() {
		return Account{}, false
	}
	name, ok := c.Accounts.find(digest)
	if !ok {
		return Account{}, false
	}
	return c.Accounts.byName[name], true
}

// PriorityOf returns the priority of the requests of an account on a route. The account may be
// empty or no longer listed.
func (c *Configuration) PriorityOf(r Route, name identifier.AccountName) int {
	if c.HasAccounts() {
		if a, ok := c.Accounts.byName[name]; ok && a.Priority != nil {
			return *a.Priority
		}
	}
	return r.Priority
}

// HasAnonymousBatch reports whether a host has a route on which batch jobs may be submitted
// without a key.
func (c *Configuration) HasAnonymousBatch(host string) bool {
	for _, r := range c.Routes {
		if r.Host == host && r.Kind == KindBatch && r.Anonymous {
			return true
		}
	}
	return false
}
