package validator

import "fmt"

// Range is a closed range of integers.
type Range struct{ Min, Max int }

// String returns the range as shown in faults.
func (r Range) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// Bounds maps the path of each number and list in a document, without indices,
// to the allowed values or list lengths. The checks and the JSON schema both
// use it.
var Bounds = map[string]Range{
	"operators":                       {1, 100},
	"owners":                          {0, 1000},
	"models":                          {0, 1000},
	"models.staleness-bound":          {0, 1000},
	"models.versions-in-play":         {1, 100},
	"services":                        {0, 1000},
	"services.idempotent-calls":       {0, 100},
	"services.slots":                  {1, 4096},
	"services.queue-limit":            {0, 100_000},
	"services.away-percent":           {0, 100},
	"teams":                           {0, 2000},
	"teams.key-hashes":                {1, 2},
	"teams.burst":                     {1, 100_000},
	"teams.in-flight-limit":           {1, 100_000},
	"grants":                          {0, 20_000},
	"limits.max-body-bytes":           {1, 4 << 20},
	"limits.max-timeout-seconds":      {1, 86_400},
	"limits.crash-quarantine-seconds": {1, 86_400},
}

// MaxRequestsPerSecond limits the rate of a team. The rate is not in Bounds
// because it is not an integer.
const MaxRequestsPerSecond = 100_000

// NamePattern is the regular expression that names in a document must match.
const NamePattern = `^[a-z][a-z0-9]*(-[a-z0-9]+)*$`

// MaxNameLength is in characters.
const MaxNameLength = 64
