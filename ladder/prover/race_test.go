//go:build race

package prover

// racedEvery thins the matrix under the race detector, which makes it many
// times slower; every case runs without it.
func init() { racedEvery = 10 }
