package admitter

import (
	"time"

	"k8s.io/klog/v2"
)

// maxLines bounds the lines about single requests that are logged per service and second.
const maxLines = 20

// report logs the decisions that delay or refuse requests.
type report struct {
	since time.Time
	// lines counts the lines since then, dropped the decisions that were not logged.
	lines, dropped int
}

// allows counts a line and reports whether it may be logged.
func (p *report) allows(now time.Time) bool {
	if now.Sub(p.since) >= time.Second {
		p.since, p.lines = now, 0
	}
	if p.lines >= maxLines {
		p.dropped++
		return false
	}
	p.lines++
	return true
}

func (p *report) delayed(now time.Time, s *service, w *waiter, e estimate) {
	if !p.allows(now) {
		return
	}
	klog.InfoS("request waits for room", "request", w.id, "service", s.name, "account", w.request.Account, "limit", s.all.value, "in-flight", s.inFlight,
		"ahead", e.ahead, "estimate", e.wait, "left", e.left, "unlogged", p.dropped)
	p.dropped = 0
}

func (p *report) refused(now time.Time, s *service, w *waiter, e estimate) {
	if !p.allows(now) {
		return
	}
	klog.InfoS("request refused for want of room", "request", w.id, "service", s.name, "account", w.request.Account, "limit", s.all.value, "in-flight", s.inFlight,
		"ahead", e.ahead, "estimate", e.wait, "left", e.left, "retry-after", e.retryAfter(), "waited", now.Sub(w.since), "unlogged", p.dropped)
	p.dropped = 0
}
