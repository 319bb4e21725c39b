package approver

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// An approval is worth no more than the key that it is checked against. If an
// operator could exchange an owner's key, or give the service to an owner of
// its own making, it could then approve any team. So a key changes only with
// the old key's signature, and a service never changes hands in place: it is
// removed with all its grants in one revision and comes back in a later one,
// which every caller and the history show.

// canonicalKey is what an owner's old key signs to hand over to a new one.
func canonicalKey(owner identifier.OwnerName, publicKey string) []byte {
	return fmt.Appendf(nil, "lycheeladder-owner-key-1\n%s\n%s\n", owner, publicKey)
}

// SignKeyHandover returns the old key's signature over the owner's new public key.
func SignKeyHandover(old ed25519.PrivateKey, owner identifier.OwnerName, publicKey string) string {
	return base64.StdEncoding.EncodeToString(ed25519.Sign(old, canonicalKey(owner, publicKey)))
}

// ValidateOwnerChanges returns what next may not do to the owners and services of
// previous, which is nil for the first document.
func ValidateOwnerChanges(previous, next *validator.Document) (faults validator.Faults) {
	if previous == nil {
		return nil
	}
	for i, o := range next.Owners {
		old, ok := previous.OwnerByName(o.Name)
		if ok && old.PublicKey != o.PublicKey && !verify(old, canonicalKey(o.Name, o.PublicKey), o.KeyHandover) {
			faults = append(faults, validator.Fault{
				Path: fmt.Sprintf("owners[%d].key-handover", i), Value: fmt.Sprintf("%q", o.KeyHandover),
				Allowed: "the old key's signature over the new one",
			})
		}
	}
	for i, s := range next.Services {
		if old, ok := previous.ServiceByName(s.Name); ok && old.Owner != s.Owner {
			faults = append(faults, validator.Fault{
				Path: fmt.Sprintf("services[%d].owner", i), Value: fmt.Sprintf("%q", s.Owner),
				Allowed: fmt.Sprintf("%q, or remove the service in one revision and add it in a later one", old.Owner),
			})
		}
	}
	return faults
}

// verify checks an owner's base64 signature over message.
func verify(o validator.Owner, message []byte, signature string) bool {
	key, err := base64.StdEncoding.DecodeString(o.PublicKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return false
	}
	raw, err := base64.StdEncoding.DecodeString(signature)
	return err == nil && ed25519.Verify(key, message, raw)
}
