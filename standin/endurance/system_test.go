package endurance

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/faker/listener"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

const (
	operatorKey = "operator-key"
	teamKey     = "team-key"
	// startTimeout only ends hung tests.
	startTimeout = time.Minute
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

func build(directory string) error {
	binDirectory = directory
	command := exec.Command("go", "build", "-o", directory+"/", "./entry", "./sidecar", "./standin")
	command.Dir = filepath.Join("..", "..")
	output, err := command.CombinedOutput()
	return errors.Wrapf(err, "build: %s", output)
}

// process is a running program.
type process struct {
	command *exec.Cmd
	// ended is closed when it has ended.
	ended chan struct{}
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func startProcess(t *testing.T, name string, arguments ...string) *process {
	t.Helper()
	logFile := filepath.Join(t.TempDir(), name)
	log, err := os.Create(logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p := &process{command: exec.Command(program(name), arguments...), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// system is an entry, the simulated platform and a plain service.
type system struct {
	listen, operators string
	entry             *process
}

func newSystem(t *testing.T) *system {
	t.Helper()
	log, peers, service := listener.FreeAddress(t), listener.FreeAddress(t), listener.FreeAddress(t)
	s := &system{listen: listener.FreeAddress(t), operators: listener.FreeAddress(t)}
	startProcess(t, "standin", "log", "--listen", log)
	s.entry = startProcess(t, "entry", "--name", "entry-1", "--zone", "z", "--log", log, "--listen", s.listen, "--peer-listen", peers, "--operator-listen", s.operators)
	startProcess(t, "standin", "service", "--listen", service)
	startProcess(t, "sidecar", "--target", "stock-1", "--service", "spares-app", "--kind", "plain", "--zone", "z", "--address", service, "--entry", peers)
	operator, d := requester.New(s.operators, operatorKey), document()
	s.waitUntil(t, func() bool {
		r, err := operator.Do(t.Context(), http.MethodPost, "/v1/documents", d)
		return err == nil && r.Status == http.StatusOK
	})
	s.waitUntil(t, func() bool {
		var status coordinator.Status
		err := operator.DoJSON(t.Context(), http.MethodGet, "/v1/status", nil, &status)
		return err == nil && len(status.Targets) == 1 && status.Targets[0].Linked && status.Targets[0].Revision == status.Revision
	})
	return s
}

// waitUntil polls until the condition holds.
func (s *system) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(pollInterval) {
		if !s.entry.alive() || time.Since(start) > startTimeout {
			t.Fatal("the system has not started")
		}
	}
}

func document() validator.Document {
	owner := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public := owner.Public().(ed25519.PublicKey)
	return validator.Document{
		Schema: validator.SchemaName, ID: identifier.NewDocumentID(), Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey(operatorKey)}},
		Owners:    []validator.Owner{{Name: "prakai", PublicKey: base64.StdEncoding.EncodeToString(public)}},
		Models:    []validator.Model{},
		Services: []validator.Service{{
			Name: "spares-app", Kind: validator.KindPlain, Owner: "prakai", IdempotentCalls: []identifier.CallName{"lookup"}, Slots: 16, QueueLimit: 64,
		}},
		Teams: []validator.Team{{
			Name: "franchisees", Class: identifier.ClassLive, KeyHashes: []string{authorizer.HashKey(teamKey)},
			RequestsPerSecond: 1000, Burst: 1000, InFlightLimit: 100,
		}},
		Grants: []validator.Grant{{
			Team: "franchisees", Service: "spares-app",
			Approval: approver.SignApproval(owner, "franchisees", "spares-app", "prakai", time.Now().Add(time.Hour)),
		}},
		Limits: validator.Limits{MaxBodyBytes: bodyBytes, MaxTimeoutSeconds: 60, CrashQuarantineSeconds: 60},
	}
}
