package storer

import (
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// TryApply calls apply for a record and returns false after a panic, so that one faulty
// record does not keep a Sink from applying the others.
func TryApply(r Record, apply func()) bool {
	if recoverer.CatchPanic("apply a store record", apply) == nil {
		return true
	}
	klog.InfoS("record left out after an unexpected error", "key", r.Key, "offset", r.Offset)
	return false
}
