package validator

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The bounds of numbers in a document.
const (
	maxSlots          = 4096
	maxQueue          = 100_000
	maxRate           = 100_000
	maxBody           = 4 << 20
	maxSeconds        = 86_400
	maxStaleness      = 1000
	maxVersionsInPlay = 100
	keyHashBytes      = 32
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

const nameAllowed = "kebab-case, 64 characters at most"

// Validate returns every fault of d, in the order of its fields.
func Validate(d Document) Faults {
	c := &checker{document: d}
	c.head()
	c.operators()
	c.owners()
	c.models()
	c.services()
	c.teams()
	c.grants()
	c.limits()
	return c.faults
}

type checker struct {
	document Document
	faults   Faults
}

func (c *checker) fault(path string, value any, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: fmt.Sprint(value), Allowed: allowed})
}

func (c *checker) within(path string, value, low, high int) {
	if value < low || value > high {
		c.fault(path, value, strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fault(path, strconv.Quote(value), fmt.Sprint(allowed))
	}
}

func (c *checker) head() {
	c.oneOf("schema", c.document.Schema, SchemaName)
	if c.document.ID == "" {
		c.fault("document-id", `""`, "a UUID")
	}
	if !namePattern.MatchString(string(c.document.Author)) {
		c.fault("author", strconv.Quote(string(c.document.Author)), nameAllowed)
	}
}

func (c *checker) names(list string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		if !namePattern.MatchString(name) || len(name) > 64 {
			c.fault(path, strconv.Quote(name), nameAllowed)
		}
		if seen[name] {
			c.fault(path, strconv.Quote(name), "a name used once")
		}
		seen[name] = true
	}
}

func (c *checker) operators() {
	c.names("operators", namesOf(c.document.Operators, func(o Operator) string { return string(o.Name) }))
	if len(c.document.Operators) == 0 {
		c.fault("operators", "[]", "at least one")
	}
	for i, o := range c.document.Operators {
		c.keyHash(fmt.Sprintf("operators[%d].key-hash", i), o.KeyHash)
	}
}

func (c *checker) keyHash(path, value string) {
	if b, err := hex.DecodeString(value); err != nil || len(b) != keyHashBytes {
		c.fault(path, strconv.Quote(value), "64 hexadecimal digits of SHA-256")
	}
}

func (c *checker) owners() {
	c.names("owners", namesOf(c.document.Owners, func(o Owner) string { return string(o.Name) }))
	for i, o := range c.document.Owners {
		if b, err := base64.StdEncoding.DecodeString(o.PublicKey); err != nil || len(b) != ed25519.PublicKeySize {
			c.fault(fmt.Sprintf("owners[%d].public-key", i), strconv.Quote(o.PublicKey), "an Ed25519 public key in base64")
		}
	}
}

func (c *checker) models() {
	c.names("models", namesOf(c.document.Models, func(m Model) string { return string(m.Name) }))
	for i, m := range c.document.Models {
		path := fmt.Sprintf("models[%d].", i)
		if _, ok := c.document.TeamByName(m.Trainer); !ok {
			c.fault(path+"trainer", strconv.Quote(string(m.Trainer)), "the name of a team")
		}
		if _, ok := c.document.ServiceByName(m.Scorer); !ok && m.Scorer != "" {
			c.fault(path+"scorer", strconv.Quote(string(m.Scorer)), "the name of a service, or nothing")
		}
		c.within(path+"staleness-bound", int(m.StalenessBound), 0, maxStaleness)
		c.within(path+"versions-in-play", int(m.VersionsInPlay), 1, maxVersionsInPlay)
	}
}

func (c *checker) services() {
	c.names("services", namesOf(c.document.Services, func(s Service) string { return string(s.Name) }))
	for i, s := range c.document.Services {
		path := fmt.Sprintf("services[%d].", i)
		c.oneOf(path+"kind", string(s.Kind), string(KindModelEngine), string(KindPlain))
		if _, ok := c.document.OwnerByName(s.Owner); !ok {
			c.fault(path+"owner", strconv.Quote(string(s.Owner)), "the name of an owner")
		}
		if _, ok := c.document.ModelByName(s.Model); !ok && s.Kind == KindModelEngine {
			c.fault(path+"model", strconv.Quote(string(s.Model)), "the name of a model")
		}
		if s.Kind == KindPlain && s.Model != "" {
			c.fault(path+"model", strconv.Quote(string(s.Model)), "no model for a plain service")
		}
		c.within(path+"slots", s.Slots, 1, maxSlots)
		c.within(path+"queue-limit", s.QueueLimit, 0, maxQueue)
		c.within(path+"away-percent", s.AwayPercent, 0, 100)
	}
}

func (c *checker) teams() {
	c.names("teams", namesOf(c.document.Teams, func(t Team) string { return string(t.Name) }))
	for i, t := range c.document.Teams {
		path := fmt.Sprintf("teams[%d].", i)
		c.oneOf(path+"class", string(t.Class), string(identifier.ClassLive), string(identifier.ClassRollout))
		if len(t.KeyHashes) == 0 {
			c.fault(path+"key-hashes", "[]", "at least one")
		}
		for k, hash := range t.KeyHashes {
			c.keyHash(fmt.Sprintf("%skey-hashes[%d]", path, k), hash)
		}
		if !(t.RequestsPerSecond > 0 && t.RequestsPerSecond <= maxRate) {
			c.fault(path+"requests-per-second", t.RequestsPerSecond, fmt.Sprintf("above 0, at most %d", maxRate))
		}
		c.within(path+"burst", t.Burst, 1, maxRate)
		c.within(path+"in-flight-limit", t.InFlightLimit, 1, maxQueue)
	}
}

func (c *checker) grants() {
	seen := make(map[string]bool)
	for i, g := range c.document.Grants {
		path := fmt.Sprintf("grants[%d].", i)
		if _, ok := c.document.TeamByName(g.Team); !ok {
			c.fault(path+"team", strconv.Quote(string(g.Team)), "the name of a team")
		}
		if _, ok := c.document.ServiceByName(g.Service); !ok {
			c.fault(path+"service", strconv.Quote(string(g.Service)), "the name of a service")
		}
		key := string(g.Team) + "/" + string(g.Service)
		if seen[key] {
			c.fault(path+"service", strconv.Quote(key), "one grant for a team and service")
		}
		seen[key] = true
	}
}

func (c *checker) limits() {
	l := c.document.Limits
	c.within("limits.max-body-bytes", l.MaxBodyBytes, 1, maxBody)
	c.within("limits.max-timeout-seconds", l.MaxTimeoutSeconds, 1, maxSeconds)
	c.within("limits.crash-quarantine-seconds", l.CrashQuarantineSeconds, 1, maxSeconds)
}

func namesOf[T any](items []T, name func(T) string) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, name(item))
	}
	return names
}
