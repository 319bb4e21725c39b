// Package authenticator implements stateless sessions of the operators' console:
// the signed cookie holds everything about a session.
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

// A cookie holds the operator's name and the end of the session, signed with a
// secret that this entry generated when it started. A secret derived from the
// operator's key hash would make sessions valid at all entries, but every operator
// and every reader of the log sees that hash and could forge other operators'
// cookies. A session is therefore bound to one incarnation of one entry. A draft
// is not lost with it, since the page itself carries the draft.

const (
	// SessionLifetime is how long an operator stays signed in.
	SessionLifetime = 8 * time.Hour
	// secretBytes is the length of the signing secret.
	secretBytes = 32
)

// Authenticator signs and verifies session cookies and form tokens.
type Authenticator struct {
	clock  clockwork.Clock
	secret []byte
}

// New returns an Authenticator with a random secret.
func New(clock clockwork.Clock) *Authenticator {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error.
	return &Authenticator{clock: clock, secret: secret}
}

// NewCookie returns the value of a session cookie for the operator.
func (a *Authenticator) NewCookie(o validator.Operator) string {
	expiry := strconv.FormatInt(a.clock.Now().Add(SessionLifetime).Unix(), 10)
	claim := string(o.Name) + "|" + expiry
	return claim + "|" + a.mac("cookie", claim, o.KeyHash)
}

// OperatorFromCookie returns the operator that the cookie was issued to. It returns
// false if this entry did not issue the cookie, if the session has expired, or if
// the operator's key has been replaced or removed since.
func (a *Authenticator) OperatorFromCookie(d *validator.Document, cookie string) (identifier.OperatorName, bool) {
	parts := strings.Split(cookie, "|")
	if d == nil || len(parts) != 3 {
		return "", false
	}
	expiry, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || a.clock.Now().Unix() >= expiry {
		return "", false
	}
	for _, o := range d.Operators {
		if string(o.Name) == parts[0] && equalConstantTime(parts[2], a.mac("cookie", parts[0]+"|"+parts[1], o.KeyHash)) {
			return o.Name, true
		}
	}
	return "", false
}

// FormToken returns the token that forms of the cookie's session must contain, as
// protection against cross-site request forgery.
func (a *Authenticator) FormToken(cookie string) string { return a.mac("form", cookie) }

// CheckFormToken reports whether the token belongs to the cookie.
func (a *Authenticator) CheckFormToken(cookie, token string) bool {
	return cookie != "" && equalConstantTime(token, a.FormToken(cookie))
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

// mac puts each part's length before the part, so that different lists of parts
// never give the same input to the hash.
func (a *Authenticator) mac(parts ...string) string {
	h := hmac.New(sha256.New, a.secret)
	for _, part := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

func equalConstantTime(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
