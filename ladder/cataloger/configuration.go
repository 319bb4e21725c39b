// Package cataloger maintains the published configuration, the announced weight
// versions and the live targets as listed in the platform's store.
package cataloger

import (
	"strings"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// ConfigurationVersion numbers published configurations in increasing order.
type ConfigurationVersion uint64

// RouteKind defines whether requests may be repeated.
type RouteKind string

const (
	// KindIdempotent marks requests that may run more than once.
	KindIdempotent RouteKind = "idempotent"
	// KindAtMostOnce marks requests that run at most once.
	KindAtMostOnce RouteKind = "once"
	// KindStream marks requests that are answered by a series of events. They run at
	// most once unless the route is resumable.
	KindStream RouteKind = "stream"
	// KindBatch marks requests that submit batch jobs.
	KindBatch RouteKind = "batch"
)

// TrafficShare is the share of a route's requests that a service receives.
type TrafficShare struct {
	Service identifier.ServiceName
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route is one routing rule of the configuration.
type Route struct {
	Name identifier.RouteName
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Shares has at least one entry.
	Shares []TrafficShare
	// Timeout is the longest time that the operator lets a caller wait; 0 means no
	// bound. It does not apply to the items of batch jobs.
	Timeout time.Duration
	// LatencyGoal is the response time up to which an answer has its full value.
	LatencyGoal time.Duration
	// MaxAttempts is the maximum number of targets tried for one attempt of a caller.
	MaxAttempts int
	// Priority is the request priority; 0 is the most urgent.
	Priority  int
	Resumable bool
	// Anonymous routes serve requests without a key where accounts are in force.
	Anonymous bool
	// SingleVersion requires that a single weight version generates the whole text of
	// an item.
	SingleVersion bool
	// ResultsDue is the time after submission at which all results of a batch job are
	// due.
	ResultsDue time.Duration
	// GiveUpAfter is the time after submission from which the items of a batch job may
	// be abandoned.
	GiveUpAfter time.Duration
}

// Engine has the settings of a service of model engines.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots  int
	Models []identifier.ModelName
}

// Service is a group of interchangeable targets.
type Service struct {
	Name identifier.ServiceName
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// HealthPath is the path of a target's health check; empty if there is none.
	HealthPath string
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the number of targets is fixed.
	Scaling *Scaling
}

// Scaling bounds the number of a service's targets, in each zone.
type Scaling struct {
	// Min is at most Max.
	Min, Max int
	// Boot is the time from an order until new targets serve.
	Boot time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the largest request body; 0 means no bound.
	MaxBodyBytes int64
	// MaxHeadBytes is the largest request head; 0 means the server's own bound.
	MaxHeadBytes int64
	// HeadTimeout is how long callers may take to send a head.
	HeadTimeout time.Duration
	// IdleTimeout is how long callers may leave a connection idle.
	IdleTimeout time.Duration
}

// Configuration is one published configuration.
type Configuration struct {
	Version  ConfigurationVersion
	Routes   []Route
	Services map[identifier.ServiceName]Service
	Limits   Limits
	// Accounts is nil if no accounts are in force.
	Accounts *Accounts
}

// MatchRoute returns the route of a request: among the routes of the host, the one with
// the longest matching path prefix.
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

// ServiceByModel maps each model to its service.
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
