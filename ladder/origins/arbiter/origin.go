package arbiter

import (
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Starts knows the software versions of starts of targets; *cataloger.Cataloger implements it.
type Starts interface {
	// SoftwareOf returns false if the start is not known to have been listed.
	SoftwareOf(i cataloger.Incarnation) (identifier.SoftwareVersion, bool)
}

// Resolve returns an origin with the version of its start, if that has been listed since.
func Resolve(o messenger.StreamOrigin, s Starts) messenger.StreamOrigin {
	if !MayBeListed(o) || s == nil {
		return o
	}
	if software, ok := s.SoftwareOf(cataloger.Incarnation{Name: o.Target, StartID: o.StartID}); ok {
		o.Software, o.Unlisted = software, false
	}
	return o
}

// MayBeListed reports whether the version of an origin may become known.
func MayBeListed(o messenger.StreamOrigin) bool { return o.Unlisted && o.StartID != 0 }

// Newer returns the one of two origins of a stream that tells more: the one of its later run, and
// of the same run the one that knows the version.
func Newer(a, b messenger.StreamOrigin) messenger.StreamOrigin {
	if b.Anew > a.Anew || b.Anew == a.Anew && a.Unlisted {
		return b
	}
	return a
}
