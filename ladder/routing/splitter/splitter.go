// Package splitter decides which services receive the work of a route, by the weights of its
// shares. Calls, streams, items of batch jobs and scoring calls all follow this decision.
package splitter

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Random returns random numbers below n.
type Random interface{ IntN(n int) int }

// Services returns the services that may receive work of the route now: those with a weight, or
// the first one if none has a weight. A service whose weight is 0 is taken off the route.
func Services(r cataloger.Route) (list []identifier.ServiceName) {
	for _, s := range r.Shares {
		if s.Weight > 0 {
			list = append(list, s.Service)
		}
	}
	if len(list) == 0 && len(r.Shares) > 0 {
		list = append(list, r.Shares[0].Service)
	}
	return list
}

// Draw returns one of the services at random, by their weights, or "" if the route has none.
func Draw(r cataloger.Route, random Random) identifier.ServiceName {
	total := totalWeight(r)
	if total == 0 {
		return first(r)
	}
	return at(r, random.IntN(total))
}

// Assign returns the service of work that is placed more than once, by the weights of the
// services: it stays the same for a key until the route changes. It returns "" if the route has
// no services.
func Assign(r cataloger.Route, key string) identifier.ServiceName {
	total := totalWeight(r)
	if total == 0 {
		return first(r)
	}
	return at(r, int(xxhash.Sum64String(key)%uint64(total)))
}

func totalWeight(r cataloger.Route) (total int) {
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	return total
}

func first(r cataloger.Route) identifier.ServiceName {
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}

// at returns the service at a position below the total weight.
func at(r cataloger.Route, position int) (s identifier.ServiceName) {
	for _, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		s = share.Service
		if position -= share.Weight; position < 0 {
			break
		}
	}
	return s
}
