// Package authorizer tells who is calling and what the accepted document lets
// them call.
package authorizer

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// Refusal is a stable name for why a caller may not do something.
type Refusal string

// The refusals. None of them lets a request leave the entry.
const (
	RefusalNone           Refusal = ""
	RefusalNotReady       Refusal = "not-ready"
	RefusalKeyMissing     Refusal = "key-missing"
	RefusalKeyUnknown     Refusal = "key-unknown"
	RefusalUnknownService Refusal = "unknown-service"
	RefusalNotApproved    Refusal = "team-not-approved"
)

// HashKey returns the hex SHA-256 under which a key stands in the document.
// Keys are random and long, so that a plain hash does.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// keyBytes is the length of a team's or operator's key.
const keyBytes = 32

// NewKey returns a fresh key for a team or an operator.
func NewKey() string {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // It never fails; see crypto/rand.
	return base64.RawURLEncoding.EncodeToString(secret)
}

// AuthenticateOperator finds the operator that holds the key. While no document is in
// force anyone may publish the first one.
func AuthenticateOperator(d *validator.Document, key string) (identifier.OperatorName, Refusal) {
	if d == nil {
		return "", RefusalNone
	}
	if key == "" {
		return "", RefusalKeyMissing
	}
	hash := []byte(HashKey(key))
	for _, o := range d.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(o.KeyHash)) == 1 {
			return o.Name, RefusalNone
		}
	}
	return "", RefusalKeyUnknown
}
