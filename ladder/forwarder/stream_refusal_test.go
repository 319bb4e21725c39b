package forwarder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Guards against a refusal that says that a stream has not run, after an attempt that may have run.
func TestForwardStream_NotRunIsTrue(t *testing.T) {
	breaks, refuses := faker.Behaviour{BreaksOff: true}, faker.Behaviour{NotRun: true, Status: 503}
	for name, c := range map[string]struct {
		first, others faker.Behaviour
		want          string
	}{
		"all break off":            {breaks, breaks, "unknown"},
		"one breaks off":           {breaks, refuses, "unknown"},
		"all refuse":               {refuses, refuses, "not run"},
		"none can be reached":      {faker.Behaviour{NotSent: true}, faker.Behaviour{NotSent: true}, "not run"},
		"one breaks off, not sent": {breaks, faker.Behaviour{NotSent: true}, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newForwarder(func(_ cataloger.Target, _ sender.Call, n int) faker.Behaviour {
					if n == 0 {
						return c.first
					}
					return c.others
				})
				stream := route(cataloger.KindStream, 10)
				stream.Resumable = true
				o := forwardAny(f, stream, Request{ID: "x", Method: "POST", Path: "/p"})
				if diff := cmp.Diff(c.want, describe(o)); diff != "" {
					t.Error(diff)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}
