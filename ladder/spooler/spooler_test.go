package spooler

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/lycheeladder/lycheeladder/ladder/recorder"
)

// gate is an output that nobody reads until it is opened.
type gate struct {
	opened chan struct{}
	mutex  sync.Mutex
	text   bytes.Buffer
}

func (g *gate) Write(line []byte) (int, error) {
	<-g.opened
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.Write(line)
}

func TestWrite_NeverWaitsAndTellsWhatWasDropped(t *testing.T) {
	g := &gate{opened: make(chan struct{})}
	r := recorder.New()
	s := New(g, 4, unusual, r)
	for n := range 20 {
		if _, err := fmt.Fprintf(s, "line %d\n", n); err != nil {
			t.Fatal(err)
		}
	}
	dropped := r.Counters()[CounterDropped]
	if dropped < 15 || dropped > 16 {
		t.Errorf("%d lines dropped", dropped)
	}
	close(g.opened)
	// Whatever was taken in between, every line is there or told as dropped.
	for !strings.HasSuffix(g.read(), "last\n") {
		fmt.Fprint(s, "last\n")
		runtime.Gosched()
	}
	lines, told := 0, 0
	for _, line := range strings.Split(g.read(), "\n") {
		var count int
		switch _, err := fmt.Sscanf(line, "log lines dropped count=%d", &count); {
		case err == nil:
			told += count
		case strings.HasPrefix(line, "line "):
			lines++
		}
	}
	if diff := cmp.Diff(20, lines+int(dropped)); diff != "" || told < int(dropped) {
		t.Errorf("%d lines, %d told as dropped: %s", lines, told, diff)
	}
}

func (g *gate) read() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.String()
}

func unusual([]byte) bool { return false }

// A target's failure is told although nobody reads and answers fill the buffer.
func TestWrite_RoutineLinesLeaveRoomForOthers(t *testing.T) {
	g := &gate{opened: make(chan struct{})}
	s := New(g, 16, func(line []byte) bool { return bytes.HasPrefix(line, []byte("answered")) }, recorder.New())
	for range 40 {
		fmt.Fprint(s, "answered\n")
	}
	for n := range 3 { // and a line for what was dropped
		fmt.Fprintf(s, "failed %d\n", n)
	}
	close(g.opened)
	for !strings.HasSuffix(g.read(), "last\n") {
		fmt.Fprint(s, "last\n")
		runtime.Gosched()
	}
	for n := range 3 {
		if !strings.Contains(g.read(), fmt.Sprintf("failed %d\n", n)) {
			t.Errorf("failure %d is not told:\n%s", n, g.read())
		}
	}
	if !strings.Contains(g.read(), "log lines dropped count=") {
		t.Error("nothing is told of what was left out")
	}
}

// A routine line and the line for what was dropped before it take two places, where
// the buffer has one left for routine lines.
func TestWrite_TheLineForDroppedLinesTakesNoReservedPlace(t *testing.T) {
	const capacity, unreserved = 16, 12
	g := &gate{opened: make(chan struct{})}
	s := New(g, capacity, func(line []byte) bool { return bytes.HasPrefix(line, []byte("answered")) }, recorder.New())
	fmt.Fprint(s, "answered\n")
	for len(s.lines) > 0 { // the task takes the first line and waits at the gate
		runtime.Gosched()
	}
	for range unreserved + 1 {
		fmt.Fprint(s, "answered\n")
	}
	g.opened <- struct{}{}
	for len(s.lines) >= unreserved {
		runtime.Gosched()
	}
	for range 2 {
		fmt.Fprint(s, "answered\n")
	}
	for n := range 3 {
		fmt.Fprintf(s, "failed %d\n", n)
	}
	close(g.opened)
	if err := s.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		if !strings.Contains(g.read(), fmt.Sprintf("failed %d\n", n)) {
			t.Errorf("failure %d is not told:\n%s", n, g.read())
		}
	}
}

// What was dropped is told before the next line, however fast the lines are read.
func TestWrite_EachGapIsToldWhereItIs(t *testing.T) {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	s := New(g, 2, unusual, recorder.New())
	for n := range 100_000 {
		fmt.Fprintf(s, "line %d\n", n)
	}
	if err := s.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	next := 0
	for _, line := range strings.Split(strings.TrimSuffix(g.read(), "\n"), "\n") {
		var number int
		if _, err := fmt.Sscanf(line, "log lines dropped count=%d", &number); err == nil {
			next += number
			continue
		}
		if _, err := fmt.Sscanf(line, "line %d", &number); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		if diff := cmp.Diff(next, number); diff != "" {
			t.Fatalf("a gap that no line tells: %s", diff)
		}
		next = number + 1
	}
}

func TestClose_WritesTheLastLinesUnlessNobodyReads(t *testing.T) {
	routine := func([]byte) bool { return false }
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	s := New(g, 8, routine, recorder.New())
	for n := range 5 {
		_, _ = fmt.Fprintf(s, "line %d\n", n)
	}
	if err := s.Close(t.Context()); err != nil {
		t.Error(err)
	}
	_, _ = fmt.Fprintln(s, "too late")
	if diff := cmp.Diff("line 0\nline 1\nline 2\nline 3\nline 4\n", g.text.String()); diff != "" {
		t.Error(diff)
	}

	stuck := New(&gate{opened: make(chan struct{})}, 8, routine, recorder.New())
	_, _ = fmt.Fprintln(stuck, "nobody reads")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := stuck.Close(ctx); err == nil {
		t.Error("closed in order while nobody reads")
	}
}
