package drafter

// Kind determines which input a field has in the form.
type Kind string

// The kinds of field.
const (
	// Text is a single line of text.
	Text Kind = "text"
	// Number keeps invalid input as text, so that the form can show it beside its
	// fault.
	Number Kind = "number"
	// Choice is one of Field.Options or of the names of the items in the section
	// Field.From.
	Choice Kind = "choice"
	// Checkbox is a boolean.
	Checkbox Kind = "yes"
	// Lines is a list of strings, one per line.
	Lines Kind = "lines"
	// Object is a JSON object, pasted as text.
	Object Kind = "object"
)

// Field is one field of an item.
type Field struct {
	Name  string
	Label string
	Kind  Kind
	Hint  string
	// Options are the fixed values of a Choice.
	Options []string
	// From names the section whose item names are values of a Choice.
	From string
	// Optional fields are left out of the document if they are empty.
	Optional bool
	// Initial is the field's value in a new item.
	Initial string
}

// Section is one top-level part of the document. Each has its own page.
type Section struct {
	Name  string
	Title string
	// Item is the singular name of the section's items. It is empty for the limits,
	// which are a single object and not a list.
	Item   string
	Help   string
	Fields []Field
	// Keys is set if the items have keys that the console can generate.
	Keys bool
}

// Sections lists all sections in the order of the menu.
var Sections = []Section{
	{
		Name: "teams", Title: "Teams", Item: "team", Keys: true,
		Help: "Teams that call. A key is stored as its hash; two keys hold while one is being exchanged.",
		Fields: []Field{
			{Name: "name", Label: "Name", Kind: Text, Hint: "kebab-case"},
			{Name: "class", Label: "Class", Kind: Choice, Options: []string{"live", "rollout"}, Initial: "live"},
			{Name: "key-hashes", Label: "Key hashes", Kind: Lines, Hint: "one a line, at most two"},
			{Name: "requests-per-second", Label: "Requests a second", Kind: Number, Hint: "at each entry", Initial: "50"},
			{Name: "burst", Label: "Burst", Kind: Number, Hint: "requests at once", Initial: "100"},
			{Name: "in-flight-limit", Label: "Open requests", Kind: Number, Hint: "at each entry", Initial: "64"},
		},
	},
	{
		Name: "services", Title: "Services", Item: "service",
		Help: "Groups of equal targets with one owner. A service can't change hands: remove it, then add it in a later revision.",
		Fields: []Field{
			{Name: "name", Label: "Name", Kind: Text, Hint: "kebab-case"},
			{Name: "kind", Label: "Kind", Kind: Choice, Options: []string{"model-engine", "plain"}, Initial: "plain"},
			{Name: "owner", Label: "Owner", Kind: Choice, From: "owners"},
			{Name: "model", Label: "Model", Kind: Choice, From: "models", Optional: true, Hint: "model engines only"},
			{Name: "fencing-checked", Label: "Engines refuse old fencing numbers", Kind: Checkbox},
			{Name: "idempotent-calls", Label: "Calls that may be repeated", Kind: Lines, Optional: true, Hint: "one a line; plain services only"},
			{Name: "slots", Label: "Slots", Kind: Number, Hint: "requests at a target at once", Initial: "16"},
			{Name: "queue-limit", Label: "Queue limit", Kind: Number, Hint: "requests waiting at a sidecar", Initial: "64"},
			{Name: "away-percent", Label: "Away percent", Kind: Number, Optional: true, Hint: "targets that may switch weights at once"},
		},
	},
	{
		Name: "models", Title: "Models", Item: "model",
		Help: "Models under training, and how old their samples may be.",
		Fields: []Field{
			{Name: "name", Label: "Name", Kind: Text, Hint: "kebab-case"},
			{Name: "trainer", Label: "Trainer", Kind: Choice, From: "teams"},
			{Name: "scorer", Label: "Scorer", Kind: Choice, From: "services", Optional: true, Hint: "a plain service, or none"},
			{Name: "staleness-bound", Label: "Staleness bound", Kind: Number, Hint: "versions a sample may be behind", Initial: "2"},
			{Name: "versions-in-play", Label: "Versions in play", Kind: Number, Hint: "newest versions engines may hold", Initial: "2"},
		},
	},
	{
		Name: "grants", Title: "Approvals", Item: "grant",
		Help: "Which team may call which service. A grant takes effect with the approval of the service's owner; until then keep it in this draft.",
		Fields: []Field{
			{Name: "team", Label: "Team", Kind: Choice, From: "teams"},
			{Name: "service", Label: "Service", Kind: Choice, From: "services"},
			{Name: "approval", Label: "Approval", Kind: Object, Optional: true, Hint: "paste what ladderctl approve --alone wrote"},
		},
	},
	{
		Name: "limits", Title: "Limits",
		Help: "Bounds of every request.",
		Fields: []Field{
			{Name: "max-body-bytes", Label: "Largest body", Kind: Number, Hint: "bytes"},
			{Name: "max-timeout-seconds", Label: "Longest wait", Kind: Number, Hint: "seconds a caller may ask for"},
			{Name: "crash-quarantine-seconds", Label: "Crash quarantine", Kind: Number, Hint: "seconds a request that crashed two targets is refused"},
		},
	},
	{
		Name: "owners", Title: "Owners", Item: "owner",
		Help: "Owners of services. A key changes only with the old key's signature: ladderctl change-owner-key makes it.",
		Fields: []Field{
			{Name: "name", Label: "Name", Kind: Text, Hint: "kebab-case"},
			{Name: "public-key", Label: "Public key", Kind: Text, Hint: "Ed25519 in base64"},
			{Name: "key-handover", Label: "Handover", Kind: Text, Optional: true, Hint: "the old key's signature over a new one"},
		},
	},
	{
		Name: "operators", Title: "Operators", Item: "operator", Keys: true,
		Help: "Who may publish documents.",
		Fields: []Field{
			{Name: "name", Label: "Name", Kind: Text, Hint: "kebab-case"},
			{Name: "key-hash", Label: "Key hash", Kind: Text, Hint: "64 hexadecimal digits"},
		},
	},
}

// SectionByName returns false if there is no section of that name.
func SectionByName(name string) (Section, bool) {
	for _, s := range Sections {
		if s.Name == name {
			return s, true
		}
	}
	return Section{}, false
}
