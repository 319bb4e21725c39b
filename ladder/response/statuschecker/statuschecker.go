// Package statuschecker rejects responses whose status is not one of HTTP.
//
// A faulty server may send any three digits. Clients differ in what they make of them: some take a
// status below 100 for an interim response and read on within its body, others take 000 for 200.
package statuschecker

import (
	"net/http"

	"github.com/pkg/errors"
)

const (
	// minFinal and maxFinal are the least and the greatest status of a final response.
	minFinal, maxFinal = 200, 599
	// minInterim is the least status of an interim response.
	minInterim = 100
)

// ErrInvalid means that a response has a status that is not one of HTTP, or not one that was asked
// for. The bytes after it could be mistaken for another response.
var ErrInvalid = errors.New("status of the response is invalid")

// CheckFinal returns ErrInvalid unless status is that of a final response.
func CheckFinal(status int) error {
	if status < minFinal || status > maxFinal {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	return nil
}

// IsInterim reports whether another response follows one with this status. A protocol switch is
// neither interim nor final.
func IsInterim(status int) bool {
	return status >= minInterim && status < minFinal && status != http.StatusSwitchingProtocols
}
