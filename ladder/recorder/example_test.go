package recorder_test

import (
	"fmt"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
)

// Latencies are recorded by team, class and measure.
func Example() {
	r := recorder.New()
	for n := range 100 {
		r.ObserveDuration(recorder.Series{Team: "riders", Class: identifier.ClassLive, Measure: recorder.MeasureTotal}, time.Duration(n+1)*time.Millisecond)
	}
	r.Count("completed")
	s := r.Summaries()[0]
	fmt.Printf("%s %s %s: %d, median about %.0f ms\n", s.Team, s.Class, s.Measure, s.Count, s.Median)
	fmt.Println(r.Counters())
	// Output:
	// riders live total: 100, median about 50 ms
	// map[completed:1]
}
