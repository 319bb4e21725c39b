package throttler

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// reportInterval is the interval at which the requests to a limited target are logged,
// and the period for which they are counted.
const reportInterval = 4 * time.Second

// report counts the requests of this host to one limited target.
type report struct {
	sent, denied int
	since        time.Time
}

// start begins a new period.
func (r *report) start(now time.Time) { *r = report{since: now} }

// add counts a request and logs the counts at the end of a period.
func (r *report) add(now time.Time, name identifier.TargetName, limit identifier.RequestRate, sent bool) {
	if now.Sub(r.since) >= reportInterval {
		if r.sent+r.denied > 0 {
			klog.InfoS("requests sent to a limited target", "target", name, "limit", limit, "sent", r.sent, "denied", r.denied, "within", now.Sub(r.since))
		}
		r.start(now)
	}
	if sent {
		r.sent++
	} else {
		r.denied++
	}
}
