package explainer_test

import (
	"fmt"
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

func TestDecisionLog_KeepsOnlyNewest(t *testing.T) {
	e := explainer.NewDecisionLog()
	id := func(n int) identifier.RequestID { return identifier.RequestID(fmt.Sprint(n)) }
	for n := range explainer.Capacity + 5 {
		e.Add(explainer.Decision{Request: id(n), Code: fmt.Sprint(n)})
	}
	for n, want := range map[int]bool{0: false, 4: false, 5: true, explainer.Capacity + 4: true} {
		if d, ok := e.Find(id(n)); ok != want || ok && d.Code != fmt.Sprint(n) {
			t.Errorf("request %d: %+v, %t, want %t", n, d, ok, want)
		}
	}
}
