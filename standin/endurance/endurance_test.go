// Package endurance starts the program entry on loopback with lowered limits and lets
// clients that do not stay within the limits send to it. It checks only that the process
// lives, stays within its memory and descriptors, and answers an ordinary request
// afterwards.
package endurance

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/faker/crowder"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
)

const (
	// memoryMB and maxDescriptors are the limits of the machine in the settings.
	memoryMB       = 64
	maxDescriptors = 360
	// bodyBytes is the largest legal body of a call.
	bodyBytes = 1_000_000
	// requestTimeout only ends hung requests.
	requestTimeout = 10 * time.Second
)

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "endurance")
	if err != nil {
		panic(err)
	}
	if err := build(directory); err != nil {
		panic(err)
	}
	code, err := crowder.RunAlone(m.Run)
	_ = os.RemoveAll(directory)
	if err != nil {
		panic(err)
	}
	os.Exit(code)
}

// startEntry starts an entry with a plain service. The crowd connects to the listener
// of callers.
func startEntry(t *testing.T) crowder.Server {
	t.Helper()
	s := newSystem(t)
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return crowder.Server{
		Address: s.listen, PID: s.entry.command.Process.Pid, Alive: s.entry.alive,
		MaxResidentBytes: memoryMB << 20, MaxDescriptors: maxDescriptors,
		Ordinary: func() int {
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+s.listen+callPath, strings.NewReader(`"text"`))
			if err != nil {
				return 0
			}
			r.Header.Set("Authorization", "Bearer "+teamKey)
			response, err := client.Do(r)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			return response.StatusCode
		},
	}
}

// startOperators is startEntry with a crowd that connects to the operators' listener.
func startOperators(t *testing.T) crowder.Server {
	t.Helper()
	s := newSystem(t)
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return crowder.Server{
		Address: s.operators, PID: s.entry.command.Process.Pid, Alive: s.entry.alive,
		MaxResidentBytes: memoryMB << 20, MaxDescriptors: maxDescriptors,
		Ordinary: func() int {
			r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.operators+"/v1/status", nil)
			if err != nil {
				return 0
			}
			r.Header.Set("Authorization", "Bearer "+operatorKey)
			response, err := client.Do(r)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			return response.StatusCode
		},
	}
}

const callPath = "/v1/services/spares-app/calls/lookup"

// calls is a call with the largest legal body.
var calls = request(callPath, teamKey)

// submissions is a trainer's submission of work, the batch jobs of an entry.
var submissions = request(fetcher.PathSubmit, teamKey)

// documents is a document of an operator.
var documents = request("/v1/documents", operatorKey)

func request(path, key string) crowder.Request {
	return crowder.Request{
		Path: path, Host: "h", Body: []byte(`"` + strings.Repeat("x", bodyBytes-2) + `"`),
		Header: func(int) string { return fmt.Sprintf("Authorization: Bearer %s\r\n", key) },
	}
}

// Guards against memory that grows with the number of bodies of legal size.
func TestWholeBodies(t *testing.T) { crowder.Play(t, startEntry(t), calls.WholeBodies()) }

// Guards against memory that grows with the number of bodies that arrive in pieces.
func TestBodiesInPieces(t *testing.T) { crowder.Play(t, startEntry(t), calls.BodiesInPieces()) }

// Guards against memory that grows with the number of trainers' submissions.
func TestWholeSubmissions(t *testing.T) { crowder.Play(t, startEntry(t), submissions.WholeBodies()) }

// Guards against memory that grows with the number of operators' uploads.
func TestWholeDocuments(t *testing.T) { crowder.Play(t, startOperators(t), documents.WholeBodies()) }

// Guards against memory that grows with the size of heads.
func TestOverlongHeads(t *testing.T) { crowder.Play(t, startEntry(t), calls.OverlongHeads()) }

// Guards against memory that grows with a header line.
func TestEndlessHeaderLine(t *testing.T) { crowder.Play(t, startEntry(t), calls.EndlessHeaderLine()) }

// Guards against memory that grows with the number of header lines.
func TestEndlessHeaderLines(t *testing.T) {
	crowder.Play(t, startEntry(t), calls.EndlessHeaderLines())
}

// Guards against memory that grows with what precedes a request.
func TestEndlessEmptyLines(t *testing.T) { crowder.Play(t, startEntry(t), calls.EndlessEmptyLines()) }

// Guards against memory that grows with chunked bodies, whose length is not announced.
func TestLargeChunks(t *testing.T) { crowder.Play(t, startEntry(t), calls.LargeChunks()) }

// Guards against memory that grows with the overhead of small chunks.
func TestSmallChunks(t *testing.T) { crowder.Play(t, startEntry(t), calls.SmallChunks()) }

var binDirectory string

// environment has the limits of the machine.
var environment = []string{
	fmt.Sprintf("LYCHEELADDER_MEMORY_MB=%d", memoryMB), fmt.Sprintf("LYCHEELADDER_MAX_FDS=%d", maxDescriptors),
}

func program(name string) string { return filepath.Join(binDirectory, name) }
