package sender_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

func TestCause_IsErrStalledUnlessNothingWasSent(t *testing.T) {
	broken := errors.New("connection closed")
	for _, c := range []struct {
		name      string
		ended     error
		err, want error
	}{
		{name: "silent", ended: sender.ErrStalled, err: broken, want: sender.ErrStalled},
		{name: "not sent", ended: sender.ErrStalled, err: sender.ErrNotSent, want: sender.ErrNotSent},
		{name: "ended by the caller", err: broken, want: broken},
		{name: "no error", ended: sender.ErrStalled},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.ended)
			if diff := cmp.Diff(c.want, sender.Cause(ctx, c.err), cmpopts.EquateErrors()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
