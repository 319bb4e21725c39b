package fitter_test

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/sloper/fitter"
)

// TestMain fixes the seed of the property tests so that every run gives the
// same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestFit_RecoversLineFromItsPoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := fitter.Line{
			Intercept: rapid.Float64Range(-1000, 1000).Draw(t, "base"),
			Slope:     rapid.Float64Range(-50, 50).Draw(t, "per unit"),
		}
		var points []fitter.Point
		for _, size := range []float64{10, 20, 40, 80} {
			points = append(points, fitter.Point{Size: size, Cost: want.At(size)})
		}
		got := fitter.Fit(points)
		if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0, 1e-6)); diff != "" {
			t.Fatalf("Fit (-want +got):\n%s", diff)
		}
	})
}

func TestFit_ReportsMaxRelativeError(t *testing.T) {
	// The fitted line is 16*size - 10: at size 3 it predicts 38, a residual of
	// 8.
	got := fitter.Fit([]fitter.Point{{1, 10}, {2, 20}, {3, 30}, {4, 60}})
	if diff := cmp.Diff(8.0/60, got.MaxRelativeError, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Errorf("MaxRelativeError (-want +got):\n%s", diff)
	}
}
