package storer

import (
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

// TryApply calls apply for a record, and returns false after an unexpected error: a
// record that causes one must not keep a Sink from the others.
func TryApply(r Record, apply func()) bool {
	if recoverer.CatchPanic("record of the store", apply) == nil {
		return true
	}
	klog.InfoS("record left out after an unexpected error", "key", r.Key, "offset", r.Offset)
	return false
}
