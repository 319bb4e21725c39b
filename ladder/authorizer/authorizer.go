// Package authorizer authenticates callers and operators by their keys and
// checks what the document in force allows them to call.
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

// Refusal is a stable code for the reason why a request is refused.
type Refusal string

// The refusals. A refused request is not forwarded by the entry.
const (
	RefusalNone           Refusal = ""
	RefusalNotReady       Refusal = "not-ready"
	RefusalKeyMissing     Refusal = "key-missing"
	RefusalKeyUnknown     Refusal = "key-unknown"
	RefusalUnknownService Refusal = "unknown-service"
	RefusalNotApproved    Refusal = "team-not-approved"
)

// HashKey returns the hex SHA-256 of a key, as stored in the document. No salt
// or slow hash is needed because keys are long and random.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

const keyBytes = 32

// NewKey returns a new random key for a team or an operator.
func NewKey() string {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error.
	return base64.RawURLEncoding.EncodeToString(secret)
}

// AuthenticateOperator returns the operator that holds the key. Until there is
// a document in force, anyone may publish the first one.
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
