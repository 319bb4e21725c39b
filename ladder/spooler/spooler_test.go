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

// gatedWriter is an output whose writes block until it is opened.
type gatedWriter struct {
	opened chan struct{}
	mutex  sync.Mutex
	text   bytes.Buffer
}

func (g *gatedWriter) Write(line []byte) (int, error) {
	<-g.opened
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.Write(line)
}

func TestWrite_NeverBlocksAndReportsDroppedLines(t *testing.T) {
	g := &gatedWriter{opened: make(chan struct{})}
	r := recorder.New()
	s := New(g, 4, neverRoutine, r)
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
	// Each line must be either written or included in a dropped count.
	for !strings.HasSuffix(g.read(), "last\n") {
		fmt.Fprint(s, "last\n")
		runtime.Gosched()
	}
	lines, reported := 0, 0
	for _, line := range strings.Split(g.read(), "\n") {
		var count int
		switch _, err := fmt.Sscanf(line, "log lines dropped count=%d", &count); {
		case err == nil:
			reported += count
		case strings.HasPrefix(line, "line "):
			lines++
		}
	}
	if diff := cmp.Diff(20, lines+int(dropped)); diff != "" || reported < int(dropped) {
		t.Errorf("%d lines, %d reported as dropped: %s", lines, reported, diff)
	}
}

func (g *gatedWriter) read() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.String()
}

func neverRoutine([]byte) bool { return false }

// Guards against losing a target's failure when nobody reads the log and routine answer
// lines fill the buffer.
func TestWrite_RoutineLinesLeaveSpaceForOtherLines(t *testing.T) {
	g := &gatedWriter{opened: make(chan struct{})}
	s := New(g, 16, func(line []byte) bool { return bytes.HasPrefix(line, []byte("answered")) }, recorder.New())
	for range 40 {
		fmt.Fprint(s, "answered\n")
	}
	for n := range 3 { // in addition to the dropped-count line
		fmt.Fprintf(s, "failed %d\n", n)
	}
	close(g.opened)
	for !strings.HasSuffix(g.read(), "last\n") {
		fmt.Fprint(s, "last\n")
		runtime.Gosched()
	}
	for n := range 3 {
		if !strings.Contains(g.read(), fmt.Sprintf("failed %d\n", n)) {
			t.Errorf("failure %d is not logged:\n%s", n, g.read())
		}
	}
	if !strings.Contains(g.read(), "log lines dropped count=") {
		t.Error("the number of dropped lines is not logged")
	}
}

// Guards against routine lines in the reserved part: a routine line and the
// dropped-count line before it need two slots when the buffer has only one left for
// routine lines.
func TestWrite_DroppedCountLineTakesNoReservedSlot(t *testing.T) {
	const capacity, unreserved = 16, 12
	g := &gatedWriter{opened: make(chan struct{})}
	s := New(g, capacity, func(line []byte) bool { return bytes.HasPrefix(line, []byte("answered")) }, recorder.New())
	fmt.Fprint(s, "answered\n")
	for len(s.lines) > 0 { // the goroutine takes the first line and blocks
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
			t.Errorf("failure %d is not logged:\n%s", n, g.read())
		}
	}
}

// Guards against a dropped count that is written after a later line, however fast the
// reader is.
func TestWrite_ReportsEachGapInPlace(t *testing.T) {
	g := &gatedWriter{opened: make(chan struct{})}
	close(g.opened)
	s := New(g, 2, neverRoutine, recorder.New())
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
			t.Fatalf("lines missing without a dropped count: %s", diff)
		}
		next = number + 1
	}
}

func TestClose_WritesTheLastLinesUnlessTheOutputBlocks(t *testing.T) {
	routine := func([]byte) bool { return false }
	g := &gatedWriter{opened: make(chan struct{})}
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

	blocked := New(&gatedWriter{opened: make(chan struct{})}, 8, routine, recorder.New())
	_, _ = fmt.Fprintln(blocked, "nobody reads")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := blocked.Close(ctx); err == nil {
		t.Error("Close succeeded although nobody reads the log")
	}
}
