package spooler_test

import (
	"io"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/spooler"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// blockedWriter is an output whose writes block for ever.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// BenchmarkDecision measures the cost of logging one placement decision.
func BenchmarkDecision(b *testing.B) {
	line := func() {
		klog.InfoS("item placed", "job", "e049f8bc446c5e37", "item", "fa0062ed3135a77a", "target", "i-90a1eda308", "after", 0,
			"waited", 3*time.Millisecond, "candidates", 9, "in-flight", 1, "slowness", 1.25)
	}
	for name, out := range map[string]io.Writer{"written": io.Discard, "nobody reads": blockedWriter{}} {
		b.Run(name, func(b *testing.B) {
			starter.SetUpLogsTo(spooler.New(out, 4096, explainer.IsRoutine, recorder.New()), 0)
			for b.Loop() {
				line()
			}
		})
	}
	b.Run("left out", func(b *testing.B) {
		for b.Loop() {
			klog.V(1).InfoS("group not joined", "err", io.EOF)
		}
	})
}
