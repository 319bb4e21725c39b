// Package authenticator keeps operators signed in to the console without
// keeping anything about them.
package authenticator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// A cookie says who signed in and until when, under a secret that this entry
// drew when it started. A secret derived from the operator's key hash would
// also hold at other entries, but every operator and every reader of the log
// sees that hash, and could make cookies of the others. So a session is bound
// to one incarnation of one entry; the draft in a page outlives it.

const (
	// SessionLifetime is how long an operator stays signed in.
	SessionLifetime = 8 * time.Hour
	// secretBytes is the length of the entry's secret.
	secretBytes = 32
)

// Authenticator signs and checks cookies.
type Authenticator struct {
	clock  clockwork.Clock
	secret []byte
}

// New returns an Authenticator with a fresh secret.
func New(clock clockwork.Clock) *Authenticator {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // It never fails; see crypto/rand.
	return &Authenticator{clock: clock, secret: secret}
}

// NewCookie returns a cookie's value for the operator.
func (a *Authenticator) NewCookie(o validator.Operator) string {
	until := strconv.FormatInt(a.clock.Now().Add(SessionLifetime).Unix(), 10)
	claim := string(o.Name) + "|" + until
	return claim + "|" + a.mac("cookie", claim, o.KeyHash)
}

// OperatorFromCookie returns whose cookie it is. It returns false if the cookie is not
// this entry's, is too old, or if the operator's key has since been exchanged
// or removed.
func (a *Authenticator) OperatorFromCookie(d *validator.Document, cookie string) (identifier.OperatorName, bool) {
	parts := strings.Split(cookie, "|")
	if d == nil || len(parts) != 3 {
		return "", false
	}
	until, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || a.clock.Now().Unix() >= until {
		return "", false
	}
	for _, o := range d.Operators {
		if string(o.Name) == parts[0] && same(parts[2], a.mac("cookie", parts[0]+"|"+parts[1], o.KeyHash)) {
			return o.Name, true
		}
	}
	return "", false
}

// FormToken returns what a form must carry to act for the cookie's holder.
func (a *Authenticator) FormToken(cookie string) string { return a.mac("form", cookie) }

// CheckFormToken says whether token is that of the cookie.
func (a *Authenticator) CheckFormToken(cookie, token string) bool {
	return cookie != "" && same(token, a.FormToken(cookie))
}

// OperatorByKey returns the operator that holds the key.
func OperatorByKey(d *validator.Document, key string) (validator.Operator, bool) {
	if d == nil {
		return validator.Operator{}, false
	}
	name, refusal := authorizer.AuthenticateOperator(d, key)
	for _, o := range d.Operators {
		if refusal == authorizer.RefusalNone && o.Name == name {
			return o, true
		}
	}
	return validator.Operator{}, false
}

// mac keeps its parts apart by their lengths.
func (a *Authenticator) mac(parts ...string) string {
	h := hmac.New(sha256.New, a.secret)
	for _, part := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

func same(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }
