package spooler

import (
	"bytes"
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
	s := New(g, 4, r)
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
	var want strings.Builder
	for n := range 20 - int(dropped) {
		fmt.Fprintf(&want, "line %d\n", n)
	}
	g.waitFor(want.String())
	fmt.Fprint(s, "last\n")
	fmt.Fprintf(&want, "log lines dropped count=%d\nlast\n", dropped)
	g.waitFor("last\n")
	if diff := cmp.Diff(want.String(), g.read()); diff != "" {
		t.Error(diff)
	}
}

// waitFor returns when the text ends so; the test's own time limit bounds it.
func (g *gate) waitFor(end string) {
	for !strings.HasSuffix(g.read(), end) {
		runtime.Gosched()
	}
}

func (g *gate) read() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.String()
}
