package validator

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

const (
	nameAllowed = "kebab-case, 64 characters at most"
	// idAllowed is stricter than idPattern: ids are only compared, so that
	// their exact form does not matter.
	idAllowed = "a UUID, fresh for each proposal"
	// hashAllowed requires lower case because hashes are compared as strings.
	hashAllowed = "64 hexadecimal digits in lower case: the key's SHA-256"

	ownerAllowed   = "the name of an owner"
	modelAllowed   = "the name of a model"
	serviceAllowed = "the name of a service"
	scorerAllowed  = "the name of a plain service, or nothing"
	teamAllowed    = "the name of a team"
)

// sectionByReference maps the allowed value of a reference to the section that
// it refers to. If that section is unreadable, references into it are not
// reported as faults.
var sectionByReference = map[string]string{
	ownerAllowed: "owners", modelAllowed: "models", serviceAllowed: "services",
	scorerAllowed: "services", teamAllowed: "teams",
}

var (
	namePattern  = regexp.MustCompile(NamePattern)
	idPattern    = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	indexPattern = regexp.MustCompile(`\[\d+\]`)
)

// Validate returns all faults of d, in the order of its fields.
func Validate(d Document) Faults {
	c := &checker{document: d, pathByKeyHash: make(map[string]string)}
	c.checkHeader()
	c.checkOperators()
	c.checkOwners()
	c.checkModels()
	c.checkServices()
	c.checkTeams()
	c.checkGrants()
	c.checkLimits()
	return c.faults
}

type checker struct {
	document Document
	faults   Faults
	// pathByKeyHash maps each key hash to the path of its first use. If two
	// callers had the same key, a request could not be attributed to one of
	// them.
	pathByKeyHash map[string]string
}

func (c *checker) addFault(path string, value any, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: formatValue(value), Allowed: allowed})
}

// checkRange checks a number against Bounds.
func (c *checker) checkRange(path string, value int) {
	bound := Bounds[indexPattern.ReplaceAllString(path, "")]
	if value < bound.Min || value > bound.Max {
		c.addFault(path, value, bound.String())
	}
}

// checkUnsignedRange is checkRange for numbers that may exceed the range of
// int.
func (c *checker) checkUnsignedRange(path string, value uint64) {
	bound := Bounds[indexPattern.ReplaceAllString(path, "")]
	if value < uint64(bound.Min) || value > uint64(bound.Max) {
		c.addFault(path, value, bound.String())
	}
}

// checkLength checks the length of a list against Bounds.
func (c *checker) checkLength(path string, value int) {
	bound := Bounds[indexPattern.ReplaceAllString(path, "")]
	if value < bound.Min || value > bound.Max {
		c.faults = append(c.faults, Fault{Path: path, Value: strconv.Itoa(value) + " of them", Allowed: bound.String()})
	}
}

func (c *checker) checkOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addFault(path, value, strings.Join(allowed, " or "))
	}
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) || len(name) > MaxNameLength {
		c.addFault(path, name, nameAllowed)
	}
}

// checkNames checks the length of a list and the names of its items.
func (c *checker) checkNames(list, field string, names []string) {
	c.checkLength(list, len(names))
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		path := fmt.Sprintf("%s[%d]%s", list, i, field)
		c.checkName(path, name)
		if seen[name] {
			c.addFault(path, name, "a name used once")
		}
		seen[name] = true
	}
}

func (c *checker) checkHeader() {
	c.checkOneOf("schema", c.document.Schema, SchemaName)
	if !idPattern.MatchString(string(c.document.ID)) {
		c.addFault("document-id", c.document.ID, idAllowed)
	}
	c.checkName("author", string(c.document.Author))
}

func (c *checker) checkOperators() {
	c.checkNames("operators", ".name", namesOf(c.document.Operators, func(o Operator) string { return string(o.Name) }))
	for i, o := range c.document.Operators {
		c.checkKeyHash(fmt.Sprintf("operators[%d].key-hash", i), o.KeyHash)
	}
}

func (c *checker) checkKeyHash(path, value string) {
	if !hashPattern.MatchString(value) {
		c.addFault(path, value, hashAllowed)
		return
	}
	if first, ok := c.pathByKeyHash[value]; ok {
		c.addFault(path, value, "a key used once; "+first+" has it too")
		return
	}
	c.pathByKeyHash[value] = path
}

func (c *checker) checkOwners() {
	c.checkNames("owners", ".name", namesOf(c.document.Owners, func(o Owner) string { return string(o.Name) }))
	for i, o := range c.document.Owners {
		if b, err := base64.StdEncoding.DecodeString(o.PublicKey); err != nil || len(b) != ed25519.PublicKeySize {
			c.addFault(fmt.Sprintf("owners[%d].public-key", i), o.PublicKey, "an Ed25519 public key in base64")
		}
	}
}

func (c *checker) checkModels() {
	c.checkNames("models", ".name", namesOf(c.document.Models, func(m Model) string { return string(m.Name) }))
	for i, m := range c.document.Models {
		path := fmt.Sprintf("models[%d].", i)
		if _, ok := c.document.TeamByName(m.Trainer); !ok {
			c.addFault(path+"trainer", m.Trainer, teamAllowed)
		}
		if s, ok := c.document.ServiceByName(m.Scorer); m.Scorer != "" && (!ok || s.Kind != KindPlain) {
			c.addFault(path+"scorer", m.Scorer, scorerAllowed)
		}
		c.checkUnsignedRange(path+"staleness-bound", m.StalenessBound)
		c.checkUnsignedRange(path+"versions-in-play", m.VersionsInPlay)
	}
}

func (c *checker) checkServices() {
	c.checkNames("services", ".name", namesOf(c.document.Services, func(s Service) string { return string(s.Name) }))
	for i, s := range c.document.Services {
		path := fmt.Sprintf("services[%d].", i)
		c.checkOneOf(path+"kind", string(s.Kind), string(KindModelEngine), string(KindPlain))
		if _, ok := c.document.OwnerByName(s.Owner); !ok {
			c.addFault(path+"owner", s.Owner, ownerAllowed)
		}
		switch s.Kind {
		case KindModelEngine:
			c.checkModelEngine(path, s)
		case KindPlain:
			c.checkPlainService(path, s)
		}
		c.checkRange(path+"slots", s.Slots)
		c.checkRange(path+"queue-limit", s.QueueLimit)
		c.checkRange(path+"away-percent", s.AwayPercent)
	}
}

func (c *checker) checkModelEngine(path string, s Service) {
	if _, ok := c.document.ModelByName(s.Model); !ok {
		c.addFault(path+"model", s.Model, modelAllowed)
	}
	if len(s.IdempotentCalls) > 0 {
		c.addFault(path+"idempotent-calls", s.IdempotentCalls, "none for a model engine: its calls always may be repeated")
	}
}

func (c *checker) checkPlainService(path string, s Service) {
	if s.Model != "" {
		c.addFault(path+"model", s.Model, "no model for a plain service")
	}
	if s.FencingChecked {
		c.addFault(path+"fencing-checked", true, "false for a plain service")
	}
	if s.AwayPercent > 0 {
		c.addFault(path+"away-percent", s.AwayPercent, "0 for a plain service")
	}
	c.checkNames(path+"idempotent-calls", "", namesOf(s.IdempotentCalls, func(n identifier.CallName) string { return string(n) }))
}

func (c *checker) checkTeams() {
	c.checkNames("teams", ".name", namesOf(c.document.Teams, func(t Team) string { return string(t.Name) }))
	for i, t := range c.document.Teams {
		path := fmt.Sprintf("teams[%d].", i)
		c.checkOneOf(path+"class", string(t.Class), string(identifier.ClassLive), string(identifier.ClassRollout))
		c.checkLength(path+"key-hashes", len(t.KeyHashes))
		for k, hash := range t.KeyHashes {
			c.checkKeyHash(fmt.Sprintf("%skey-hashes[%d]", path, k), hash)
		}
		if !(t.RequestsPerSecond > 0 && t.RequestsPerSecond <= MaxRequestsPerSecond) {
			c.addFault(path+"requests-per-second", t.RequestsPerSecond, fmt.Sprintf("above 0, at most %d", MaxRequestsPerSecond))
		}
		c.checkRange(path+"burst", t.Burst)
		c.checkRange(path+"in-flight-limit", t.InFlightLimit)
	}
}

// checkGrants only checks the syntax of grants. Package approver verifies the
// signature and expiry of approvals.
func (c *checker) checkGrants() {
	c.checkLength("grants", len(c.document.Grants))
	seen := make(map[string]bool)
	for i, g := range c.document.Grants {
		path := fmt.Sprintf("grants[%d].", i)
		if _, ok := c.document.TeamByName(g.Team); !ok {
			c.addFault(path+"team", g.Team, teamAllowed)
		}
		if _, ok := c.document.ServiceByName(g.Service); !ok {
			c.addFault(path+"service", g.Service, serviceAllowed)
		}
		key := string(g.Team) + "/" + string(g.Service)
		if seen[key] {
			c.addFault(path+"service", key, "one grant for a team and service")
		}
		seen[key] = true
		if g.Approval.Owner == "" && g.Approval.Signature == "" && g.Approval.Expires.IsZero() {
			continue
		}
		if b, err := base64.StdEncoding.DecodeString(g.Approval.Signature); err != nil || len(b) != ed25519.SignatureSize {
			c.addFault(path+"approval.signature", g.Approval.Signature, "an Ed25519 signature in base64")
		}
	}
}

func (c *checker) checkLimits() {
	l := c.document.Limits
	c.checkRange("limits.max-body-bytes", l.MaxBodyBytes)
	c.checkRange("limits.max-timeout-seconds", l.MaxTimeoutSeconds)
	c.checkRange("limits.crash-quarantine-seconds", l.CrashQuarantineSeconds)
}

func namesOf[T any](items []T, name func(T) string) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, name(item))
	}
	return names
}
