package validator

import "fmt"

// Range is a closed range of whole numbers.
type Range struct{ Min, Max int }

// String returns the range as a fault names it.
func (r Range) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// Bounds lists the range of every number and the length of every list of a
// document, by its path without indices. The checks and the schema share it.
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

// MaxRequestsPerSecond bounds a team's rate, which is no whole number.
const MaxRequestsPerSecond = 100_000

// NamePattern is what names in a document look like.
const NamePattern = `^[a-z][a-z0-9]*(-[a-z0-9]+)*$`

// MaxNameLength is in characters.
const MaxNameLength = 64
