package scheduler

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// due returns when the results of the task's job are due, or the zero time.
func (t *task) due() time.Time {
	if t.route.ResultsDue == 0 {
		return time.Time{}
	}
	return t.job.acceptedAt.Add(t.route.ResultsDue)
}

// groupLeft returns a function that counts the items of the task's group that have no result, or
// nil if the item has no group. The trainer can use only complete groups, so that the last items
// of a group are worth more than others.
func (t *task) groupLeft() func() int {
	if t.item.Group == "" {
		return nil
	}
	var members []identifier.ItemID
	for n := range t.job.Items {
		if t.job.Items[n].Group == t.item.Group {
			members = append(members, t.job.Items[n].ID)
		}
	}
	jobs, id := t.scheduler.jobs, t.key.job
	return func() (left int) {
		for _, m := range members {
			if jobs.AwaitsResult(id, m) {
				left++
			}
		}
		return left
	}
}
