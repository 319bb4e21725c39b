package endtoend

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const (
	operatorKey = "operator-key"
	teamKey     = "team-key"
	trainerKey  = "trainer-key"
)

// target is a back end and its sidecar.
type target struct {
	address string
	backend *process
	sidecar *process
}

// system is an installation under test: the simulated platform, two entries and
// their targets.
type system struct {
	t                              *testing.T
	logAddress, weightStoreAddress string
	// listen, operators and peers hold one address per entry: those of its client,
	// operator and sidecar listeners.
	listen, operators, peers        []string
	entries                         []*process
	engines, plainServices, scorers []*target
	// sidecarArguments are extra arguments for the sidecars that are started next.
	sidecarArguments []string
	// owner is the private key that signs approvals.
	owner ed25519.PrivateKey
}

// runningSystems limits how many systems run at once. Each has about ten processes
// of 25 MB each.
var runningSystems = make(chan struct{}, 4)

// newSystem starts two entries and only then the simulated platform, so that the
// entries have to wait for it, and publishes a document. The arguments are added
// to those of the entries.
func newSystem(t *testing.T, arguments ...string) *system {
	t.Helper()
	t.Parallel()
	runningSystems <- struct{}{}
	t.Cleanup(func() { <-runningSystems })
	addresses := freeAddresses(t, 8)
	s := &system{
		t: t, logAddress: addresses[0], weightStoreAddress: addresses[1], listen: addresses[2:4], operators: addresses[4:6], peers: addresses[6:8],
		owner: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
	}
	for n := range s.listen {
		settings := append([]string{
			"--name", instanceName("entry", n), "--zone", "bkk-a", "--log", s.logAddress, "--listen", s.listen[n],
			"--peer-listen", s.peers[n], "--operator-listen", s.operators[n],
		}, arguments...)
		s.entries = append(s.entries, startProcess(t, "entry", settings...))
	}
	startProcess(t, "standin", "log", "--listen", s.logAddress)
	startProcess(t, "standin", "weights", "--listen", s.weightStoreAddress)
	if response := s.publish(0, s.document(0)); response.Status != http.StatusOK {
		t.Fatalf("publish: status %d: %s", response.Status, response.Body)
	}
	return s
}

func instanceName(kind string, n int) string { return kind + "-" + string(rune('1'+n)) }

// addEngine starts a model engine and its sidecar.
func (s *system) addEngine(arguments ...string) {
	n := len(s.engines)
	arguments = append([]string{"engine", "--weights", s.weightStoreAddress}, arguments...)
	s.engines = append(s.engines, s.addTarget(instanceName("engine", n), "advice-models", "model-engine", s.peers, arguments))
}

// addPlainService starts a plain service and its sidecar.
func (s *system) addPlainService(arguments ...string) {
	n := len(s.plainServices)
	s.plainServices = append(s.plainServices, s.addTarget(instanceName("stock", n), "spares-app", "plain", s.peers, append([]string{"service"}, arguments...)))
}

func (s *system) addScorer() {
	n := len(s.scorers)
	s.scorers = append(s.scorers, s.addTarget(instanceName("scorer", n), "scorer", "plain", s.peers, []string{"scorer"}))
}

func (s *system) addTarget(name, service, kind string, peers, arguments []string) *target {
	s.t.Helper()
	address := freeAddresses(s.t, 1)[0]
	sidecar := []string{"--target", name, "--service", service, "--kind", kind, "--zone", "bkk-a", "--address", address}
	sidecar = append(sidecar, s.sidecarArguments...)
	for _, p := range peers {
		sidecar = append(sidecar, "--entry", p)
	}
	target := &target{address: address, backend: startProcess(s.t, "standin", append(arguments, "--listen", address)...)}
	target.sidecar = startProcess(s.t, "sidecar", sidecar...)
	s.awaitLinked(name)
	return target
}

// awaitLinked waits until every entry can send calls to the target.
func (s *system) awaitLinked(name string) {
	s.t.Helper()
	eventually(s.t, name+" at every entry", func() bool {
		for n := range s.operators {
			if !s.isLinked(n, name) {
				return false
			}
		}
		return true
	})
}

func (s *system) isLinked(entry int, name string) bool {
	status, err := s.status(entry)
	if err != nil {
		return false
	}
	for _, t := range status.Targets {
		if string(t.Target) == name {
			return t.Linked && !t.Leaving && t.Revision == status.Revision
		}
	}
	return false
}

func (s *system) status(entry int) (status coordinator.Status, err error) {
	r := requester.New(s.operators[entry], operatorKey)
	return status, r.DoJSON(s.t.Context(), http.MethodGet, "/v1/status", nil, &status)
}

// executionCounts returns how often a target executed each request body or, for
// an engine, each prompt.
func (s *system) executionCounts(t *target) map[string]int {
	s.t.Helper()
	counts := make(map[string]int)
	if err := requester.New(t.address, "").DoJSON(s.t.Context(), http.MethodGet, "/ran", nil, &counts); err != nil {
		s.t.Fatal(err)
	}
	return counts
}

// setFault makes the stand-in at address simulate a fault on requests with the
// path prefix path; an empty kind ends the fault.
func (s *system) setFault(address, kind, path string) {
	s.t.Helper()
	method, body := http.MethodPost, map[string]string{"kind": kind, "path": path}
	if kind == "" {
		method = http.MethodDelete
	}
	if err := requester.New(address, "").DoJSON(s.t.Context(), method, "/fault", body, nil); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) publish(entry int, document validator.Document) requester.Response {
	s.t.Helper()
	response, err := requester.New(s.operators[entry], operatorKey).Do(s.t.Context(), http.MethodPost, "/v1/documents", document)
	if err != nil {
		s.t.Fatal(err)
	}
	return response
}

// document returns a complete configuration document based on revision base.
func (s *system) document(base identifier.Revision) validator.Document {
	team := func(name identifier.TeamName, class identifier.PriorityClass, key string) validator.Team {
		return validator.Team{
			Name: name, Class: class, KeyHashes: []string{authorizer.HashKey(key)},
			RequestsPerSecond: 1000, Burst: 1000, InFlightLimit: 100,
		}
	}
	grant := func(team identifier.TeamName, service identifier.ServiceName) validator.Grant {
		approval := approver.SignApproval(s.owner, team, service, "prakai", time.Now().Add(time.Hour))
		return validator.Grant{Team: team, Service: service, Approval: approval}
	}
	return validator.Document{
		Schema: validator.SchemaName, ID: identifier.NewDocumentID(), Base: base, Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey(operatorKey)}},
		Owners:    []validator.Owner{{Name: "prakai", PublicKey: base64.StdEncoding.EncodeToString(s.owner.Public().(ed25519.PublicKey))}},
		Models:    []validator.Model{{Name: "advice", Trainer: "trainer", Scorer: "scorer", StalenessBound: 2, VersionsInPlay: 2}},
		Services: []validator.Service{
			{Name: "advice-models", Kind: validator.KindModelEngine, Owner: "prakai", Model: "advice", FencingChecked: true, Slots: 16, QueueLimit: 64, AwayPercent: 50},
			{Name: "spares-app", Kind: validator.KindPlain, Owner: "prakai", IdempotentCalls: []identifier.CallName{"lookup"}, Slots: 16, QueueLimit: 64},
			{Name: "scorer", Kind: validator.KindPlain, Owner: "prakai", IdempotentCalls: []identifier.CallName{"score"}, Slots: 16, QueueLimit: 256},
		},
		Teams: []validator.Team{team("franchisees", identifier.ClassLive, teamKey), team("trainer", identifier.ClassRollout, trainerKey)},
		Grants: []validator.Grant{
			grant("franchisees", "advice-models"), grant("franchisees", "spares-app"),
			grant("trainer", "advice-models"), grant("trainer", "scorer"),
		},
		Limits: validator.Limits{MaxBodyBytes: 65536, MaxTimeoutSeconds: 120, CrashQuarantineSeconds: 300},
	}
}

// generationBody returns the request body of a generation.
func generationBody(text string, tokens int) []byte {
	data, _ := json.Marshal(struct {
		Prompt string `json:"prompt"`
		Tokens int    `json:"max-tokens"`
	}{text, tokens})
	return data
}
