package tracer_test

import (
	"strings"
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/tracer"
)

// FuzzRead checks that a valid line that contains the id is in the timeline,
// no matter what else is in the log.
func FuzzRead(f *testing.F) {
	valid := `I0713 15:21:31.136798   20896 place.go:75] "item placed" job="j" item="sought" target="i-1" after=0` + "\n"
	for _, noise := range []string{
		"", "I0713 15:21:31.136798   20896 x.go:1] \"unterminated", "-12.8 edge-1 " + valid, "log lines dropped count=-1",
		"I9999 99:99:99.999999   1 x.go:1] \"item placed\" item=\"sought\"", "panic: \xff\x00", strings.Repeat("x", 1<<17),
	} {
		f.Add(noise)
	}
	f.Fuzz(func(t *testing.T, noise string) {
		r := tracer.New("sought")
		if err := r.ReadLog("edge-1", strings.NewReader(noise+"\n"+valid)); err != nil {
			t.Fatal(err)
		}
		found := false
		for _, l := range r.Timeline() {
			found = found || strings.Contains(l.Text, `item="sought"`)
		}
		if !found {
			t.Errorf("the line is not in the timeline after %q", noise)
		}
		r.ClockSkews()
	})
}
