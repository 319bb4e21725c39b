package cataloger

import (
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Guards against keys that are found by their first bytes alone, and keys that change hands.
func TestAccounts_WholeDigestsDecide(t *testing.T) {
	digest, similar := NewKeyDigest("k"), NewKeyDigest("k")
	similar[len(similar)-1]++
	a := NewAccounts(0)
	a.Add(Account{Name: "other"}, []KeyDigest{similar})
	c := &Configuration{Accounts: a}
	if _, ok := c.AccountOf("k"); ok {
		t.Error("a similar digest was accepted")
	}
	a.Add(Account{Name: "first"}, []KeyDigest{digest})
	a.Add(Account{Name: "second"}, []KeyDigest{digest})
	if got, ok := c.AccountOf("k"); !ok || got.Name != "first" {
		t.Errorf("%+v, %t", got, ok)
	}
}

func TestConfiguration_PriorityOf(t *testing.T) {
	urgent := 0
	c := &Configuration{Accounts: NewAccounts(0)}
	c.Accounts.Add(Account{Name: "urgent", Priority: &urgent}, nil)
	c.Accounts.Add(Account{Name: "plain"}, nil)
	for name, want := range map[identifier.AccountName]int{"urgent": 0, "plain": 4, "removed": 4, "": 4} {
		if got := c.PriorityOf(Route{Priority: 4}, name); got != want {
			t.Errorf("%q: %d, want %d", name, got, want)
		}
	}
	if got := (&Configuration{}).PriorityOf(Route{Priority: 4}, "urgent"); got != 4 {
		t.Errorf("without accounts: %d", got)
	}
}
