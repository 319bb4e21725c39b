//go:build race

package prover

// The race detector makes the matrix many times slower, so only every tenth case
// runs under it. All cases run without it.
func init() { caseStride = 10 }
