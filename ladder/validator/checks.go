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
	// idAllowed asks for more than idPattern checks: the id is only compared.
	idAllowed = "a UUID, fresh for each proposal"
	// hashAllowed is lower case, since hashes are compared as they stand.
	hashAllowed = "64 hexadecimal digits in lower case: the key's SHA-256"

	ownerAllowed   = "the name of an owner"
	modelAllowed   = "the name of a model"
	serviceAllowed = "the name of a service"
	scorerAllowed  = "the name of a plain service, or nothing"
	teamAllowed    = "the name of a team"
)

// sectionByReference gives the section that a reference points into. Where
// the section can't be read, its references aren't faults of their own.
var sectionByReference = map[string]string{
	ownerAllowed: "owners", modelAllowed: "models", serviceAllowed: "services",
	scorerAllowed: "services", teamAllowed: "teams",
}

var (
	namePattern = regexp.MustCompile(NamePattern)
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	indices     = regexp.MustCompile(`\[\d+\]`)
)

// Validate returns every fault of d, in the order of its fields.
func Validate(d Document) Faults {
	c := &checker{document: d, hashes: make(map[string]string)}
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
	// hashes gives the path of the first use of each key hash: a key that two
	// had would leave open who is calling.
	hashes map[string]string
}

func (c *checker) fault(path string, value any, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: shown(value), Allowed: allowed})
}

// within checks a number against the table of bounds.
func (c *checker) within(path string, value int) {
	bound := Bounds[indices.ReplaceAllString(path, "")]
	if value < bound.Min || value > bound.Max {
		c.fault(path, value, bound.String())
	}
}

// withinUnsigned is within for numbers that may be beyond an int.
func (c *checker) withinUnsigned(path string, value uint64) {
	bound := Bounds[indices.ReplaceAllString(path, "")]
	if value < uint64(bound.Min) || value > uint64(bound.Max) {
		c.fault(path, value, bound.String())
	}
}

// length checks a list's length against the table of bounds.
func (c *checker) length(path string, value int) {
	bound := Bounds[indices.ReplaceAllString(path, "")]
	if value < bound.Min || value > bound.Max {
		c.faults = append(c.faults, Fault{Path: path, Value: strconv.Itoa(value) + " of them", Allowed: bound.String()})
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fault(path, value, strings.Join(allowed, " or "))
	}
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) || len(name) > MaxNameLength {
		c.fault(path, name, nameAllowed)
	}
}

// names checks the names of a list's items and the list's length.
func (c *checker) names(list, field string, names []string) {
	c.length(list, len(names))
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		path := fmt.Sprintf("%s[%d]%s", list, i, field)
		c.name(path, name)
		if seen[name] {
			c.fault(path, name, "a name used once")
		}
		seen[name] = true
	}
}

func (c *checker) head() {
	c.oneOf("schema", c.document.Schema, SchemaName)
	if !idPattern.MatchString(string(c.document.ID)) {
		c.fault("document-id", c.document.ID, idAllowed)
	}
	c.name("author", string(c.document.Author))
}

func (c *checker) operators() {
	c.names("operators", ".name", namesOf(c.document.Operators, func(o Operator) string { return string(o.Name) }))
	for i, o := range c.document.Operators {
		c.keyHash(fmt.Sprintf("operators[%d].key-hash", i), o.KeyHash)
	}
}

func (c *checker) keyHash(path, value string) {
	if !hashPattern.MatchString(value) {
		c.fault(path, value, hashAllowed)
		return
	}
	if first, ok := c.hashes[value]; ok {
		c.fault(path, value, "a key used once; "+first+" has it too")
		return
	}
	c.hashes[value] = path
}

func (c *checker) owners() {
	c.names("owners", ".name", namesOf(c.document.Owners, func(o Owner) string { return string(o.Name) }))
	for i, o := range c.document.Owners {
		if b, err := base64.StdEncoding.DecodeString(o.PublicKey); err != nil || len(b) != ed25519.PublicKeySize {
			c.fault(fmt.Sprintf("owners[%d].public-key", i), o.PublicKey, "an Ed25519 public key in base64")
		}
	}
}

func (c *checker) models() {
	c.names("models", ".name", namesOf(c.document.Models, func(m Model) string { return string(m.Name) }))
	for i, m := range c.document.Models {
		path := fmt.Sprintf("models[%d].", i)
		if _, ok := c.document.TeamByName(m.Trainer); !ok {
			c.fault(path+"trainer", m.Trainer, teamAllowed)
		}
		if s, ok := c.document.ServiceByName(m.Scorer); m.Scorer != "" && (!ok || s.Kind != KindPlain) {
			c.fault(path+"scorer", m.Scorer, scorerAllowed)
		}
		c.withinUnsigned(path+"staleness-bound", m.StalenessBound)
		c.withinUnsigned(path+"versions-in-play", m.VersionsInPlay)
	}
}

func (c *checker) services() {
	c.names("services", ".name", namesOf(c.document.Services, func(s Service) string { return string(s.Name) }))
	for i, s := range c.document.Services {
		path := fmt.Sprintf("services[%d].", i)
		c.oneOf(path+"kind", string(s.Kind), string(KindModelEngine), string(KindPlain))
		if _, ok := c.document.OwnerByName(s.Owner); !ok {
			c.fault(path+"owner", s.Owner, ownerAllowed)
		}
		switch s.Kind {
		case KindModelEngine:
			c.modelEngine(path, s)
		case KindPlain:
			c.plain(path, s)
		}
		c.within(path+"slots", s.Slots)
		c.within(path+"queue-limit", s.QueueLimit)
		c.within(path+"away-percent", s.AwayPercent)
	}
}

func (c *checker) modelEngine(path string, s Service) {
	if _, ok := c.document.ModelByName(s.Model); !ok {
		c.fault(path+"model", s.Model, modelAllowed)
	}
	if len(s.IdempotentCalls) > 0 {
		c.fault(path+"idempotent-calls", s.IdempotentCalls, "none for a model engine: its calls always may be repeated")
	}
}

func (c *checker) plain(path string, s Service) {
	if s.Model != "" {
		c.fault(path+"model", s.Model, "no model for a plain service")
	}
	if s.FencingChecked {
		c.fault(path+"fencing-checked", true, "false for a plain service")
	}
	if s.AwayPercent > 0 {
		c.fault(path+"away-percent", s.AwayPercent, "0 for a plain service")
	}
	c.names(path+"idempotent-calls", "", namesOf(s.IdempotentCalls, func(n identifier.CallName) string { return string(n) }))
}

func (c *checker) teams() {
	c.names("teams", ".name", namesOf(c.document.Teams, func(t Team) string { return string(t.Name) }))
	for i, t := range c.document.Teams {
		path := fmt.Sprintf("teams[%d].", i)
		c.oneOf(path+"class", string(t.Class), string(identifier.ClassLive), string(identifier.ClassRollout))
		c.length(path+"key-hashes", len(t.KeyHashes))
		for k, hash := range t.KeyHashes {
			c.keyHash(fmt.Sprintf("%skey-hashes[%d]", path, k), hash)
		}
		if !(t.RequestsPerSecond > 0 && t.RequestsPerSecond <= MaxRequestsPerSecond) {
			c.fault(path+"requests-per-second", t.RequestsPerSecond, fmt.Sprintf("above 0, at most %d", MaxRequestsPerSecond))
		}
		c.within(path+"burst", t.Burst)
		c.within(path+"in-flight-limit", t.InFlightLimit)
	}
}

// grants checks the form only: whether an approval is the owner's own and in
// time is the approver's to say.
func (c *checker) grants() {
	c.length("grants", len(c.document.Grants))
	seen := make(map[string]bool)
	for i, g := range c.document.Grants {
		path := fmt.Sprintf("grants[%d].", i)
		if _, ok := c.document.TeamByName(g.Team); !ok {
			c.fault(path+"team", g.Team, teamAllowed)
		}
		if _, ok := c.document.ServiceByName(g.Service); !ok {
			c.fault(path+"service", g.Service, serviceAllowed)
		}
		key := string(g.Team) + "/" + string(g.Service)
		if seen[key] {
			c.fault(path+"service", key, "one grant for a team and service")
		}
		seen[key] = true
		if g.Approval.Owner == "" && g.Approval.Signature == "" && g.Approval.Expires.IsZero() {
			continue
		}
		if b, err := base64.StdEncoding.DecodeString(g.Approval.Signature); err != nil || len(b) != ed25519.SignatureSize {
			c.fault(path+"approval.signature", g.Approval.Signature, "an Ed25519 signature in base64")
		}
	}
}

func (c *checker) limits() {
	l := c.document.Limits
	c.within("limits.max-body-bytes", l.MaxBodyBytes)
	c.within("limits.max-timeout-seconds", l.MaxTimeoutSeconds)
	c.within("limits.crash-quarantine-seconds", l.CrashQuarantineSeconds)
}

func namesOf[T any](items []T, name func(T) string) []string {
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, name(item))
	}
	return names
}
