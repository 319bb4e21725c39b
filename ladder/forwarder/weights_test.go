package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Guards against a stream that is taken up at a service whose weight has become 0.
func TestForwardStream_GoesOnAtNoServiceWithoutWeight(t *testing.T) {
	for name, c := range map[string]struct {
		weight, calls int
	}{"taken off": {0, 0}, "small weight": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, targets := newForwarder(func(cataloger.Target, sender.Call, int) faker.Behaviour {
					return faker.Behaviour{Events: 8, Gap: 10 * time.Millisecond}
				})
				f.origins = knownOrigins{"first": {Service: "s", Software: "v1"}}
				f.catalog = cataloger.New(f.clock, nameDecoder{})
				listSoftware(f, map[string]string{"a": "v1", "b": "v1"})
				r := streamRoute()
				r.Shares = []cataloger.TrafficShare{{Service: "s", Weight: c.weight}, {Service: "other", Weight: 100}}
				o := f.ForwardStream(context.Background(), r, Request{ID: "second", ResumeAfter: 4, Resumes: "first"})
				if s, ok := o.(*Stream); ok {
					_, _ = readAll(s)
					s.Close()
				}
				if _, refused := o.(NotRun); refused != (c.calls == 0) {
					t.Errorf("outcome %+v", o)
				}
				if got := len(targets.Calls()); got != c.calls {
					t.Errorf("%d calls, want %d", got, c.calls)
				}
			})
		})
	}
}
