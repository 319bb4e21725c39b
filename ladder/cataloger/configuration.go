// Package cataloger knows the published configuration, the named weight
// versions and the live targets, as the platform's store lists them.
package cataloger

import (
	"strings"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// ConfigurationVersion numbers published configurations; a later one is larger.
type ConfigurationVersion uint64

// RouteKind says what may be repeated.
type RouteKind string

// The kinds of route.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = "idempotent"
	// KindAtMostOnce requests run once at most.
	KindAtMostOnce RouteKind = "once"
	// KindStream answers are series of events. They run once at most unless
	// the route is resumable.
	KindStream RouteKind = "stream"
	// KindBatch requests submit batch jobs.
	KindBatch RouteKind = "batch"
)

// TrafficShare is a service's part of a route.
type TrafficShare struct {
	Service identifier.ServiceName
	// Weight is relative to the route's other shares.
	Weight int
}

// Route is one rule of the configuration.
type Route struct {
	Name identifier.RouteName
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Shares has at least one entry.
	Shares []TrafficShare
	// Timeout is the longest that the operator wants a caller kept waiting;
	// 0 is no bound. It does not hold for the items of batch jobs.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer has its full worth.
	LatencyGoal time.Duration
	// MaxAttempts is to how many targets one attempt of a caller may go.
	MaxAttempts int
	// Priority is the rank; 0 is the most urgent.
	Priority  int
	Resumable bool
	// SingleVersion asks that one version generates the whole text of an item.
	SingleVersion bool
	// ResultsDue is when, after its submission, all results of a batch job
	// are due.
	ResultsDue time.Duration
	// GiveUpAfter is when, after its submission, the items of a batch job may
	// be given up.
	GiveUpAfter time.Duration
}

// Engine is what the configuration says of a service of model engines.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots  int
	Models []identifier.ModelName
}

// Service is a group of equal targets.
type Service struct {
	Name identifier.ServiceName
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is 0 without a bound.
	MaxBodyBytes int64
	// IdleTimeout is how long callers may leave a connection idle.
	IdleTimeout time.Duration
}

// Configuration is one published configuration.
type Configuration struct {
	Version  ConfigurationVersion
	Routes   []Route
	Services map[identifier.ServiceName]Service
	Limits   Limits
}

// MatchRoute returns the route of a request: of those with the host, the one with
// the longest prefix of the path.
func (c *Configuration) MatchRoute(host, path string) (Route, bool) {
	best := -1
	for n, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) && (best < 0 || len(r.PathPrefix) > len(c.Routes[best].PathPrefix)) {
			best = n
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// ServiceByModel returns the models of all services, each with its service.
func (c *Configuration) ServiceByModel() map[identifier.ModelName]identifier.ServiceName {
	models := make(map[identifier.ModelName]identifier.ServiceName)
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			models[m] = s.Name
		}
	}
	return models
}
