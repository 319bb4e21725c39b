package approver

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// An approval is only as trustworthy as the key that verifies it. An operator
// who could replace the key of an owner, or assign a service to an owner of
// their own, could approve any team. Changing a key therefore requires a
// signature with the old key, and the owner of a service cannot be changed in
// place: the service must be removed with all its grants in one revision and
// added again in a later one, which is visible to every caller and in the
// history.

// keyHandoverMessage returns the bytes that an owner signs with the old key to
// replace it by a new one.
func keyHandoverMessage(owner identifier.OwnerName, publicKey string) []byte {
	return fmt.Appendf(nil, "lycheeladder-owner-key-1\n%s\n%s\n", owner, publicKey)
}

// SignKeyHandover returns the signature over the new public key of the owner,
// made with the old key.
func SignKeyHandover(old ed25519.PrivateKey, owner identifier.OwnerName, publicKey string) string {
	return base64.StdEncoding.EncodeToString(ed25519.Sign(old, keyHandoverMessage(owner, publicKey)))
}

// ValidateOwnerChanges returns a fault for each change of an owner or a
// service from previous to next that is not allowed. previous is nil for the
// first document.
func ValidateOwnerChanges(previous, next *validator.Document) (faults validator.Faults) {
	if previous == nil {
		return nil
	}
	for i, o := range next.Owners {
		old, ok := previous.OwnerByName(o.Name)
		if ok && old.PublicKey != o.PublicKey && !verifyOwnerSignature(old, keyHandoverMessage(o.Name, o.PublicKey), o.KeyHandover) {
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

// verifyOwnerSignature reports whether signature, in base64, is a signature of
// the owner over message.
func verifyOwnerSignature(o validator.Owner, message []byte, signature string) bool {
	key, err := base64.StdEncoding.DecodeString(o.PublicKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return false
	}
	raw, err := base64.StdEncoding.DecodeString(signature)
	return err == nil && ed25519.Verify(key, message, raw)
}
