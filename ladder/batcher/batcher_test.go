package batcher

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

var partition = storer.Partition{Topic: "t", Number: 1}

// runBatcher runs f with a Batcher and its store.
func runBatcher(t *testing.T, f func(t *testing.T, b *Batcher, store *faker.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		store := faker.NewStore(clock)
		b := New(clock, store, partition)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { b.Run(ctx); close(ended) }()
		f(t, b, store)
		cancel()
		<-ended
	})
}

func record(n int) storer.Record { return storer.Record{Key: fmt.Sprint(n), Value: []byte("v")} }

func keysOf(store *faker.Store) (keys []string) {
	for _, r := range store.All(partition) {
		keys = append(keys, r.Key)
	}
	return keys
}

// isSaved reports whether the store has a record.
func isSaved(saved <-chan struct{}) bool {
	select {
	case <-saved:
		return true
	default:
		return false
	}
}

// Guards against records that are lost, or overtake each other, because the store was away.
func TestAdd_KeepsRecordsInOrderUntilTheStoreHasThem(t *testing.T) {
	runBatcher(t, func(t *testing.T, b *Batcher, store *faker.Store) {
		first := b.Add(record(0))
		time.Sleep(100 * time.Millisecond)
		store.SetDown(true)
		later := []<-chan struct{}{b.Add(record(1)), b.Add(record(2))}
		time.Sleep(2 * time.Second)
		later = append(later, b.Add(record(3)))
		if !isSaved(first) || isSaved(later[0]) || !b.Failing() {
			t.Errorf("before the outage saved: %t, during: %t, failing: %t", isSaved(first), isSaved(later[0]), b.Failing())
		}
		store.SetDown(false)
		time.Sleep(time.Second)
		for n, saved := range later {
			if !isSaved(saved) {
				t.Errorf("record %d isn't saved", n+1)
			}
		}
		if diff := cmp.Diff([]string{"0", "1", "2", "3"}, keysOf(store)); diff != "" || b.Failing() {
			t.Error(diff, b.Failing())
		}
	})
}

// Guards against memory that grows with an outage.
func TestAdd_DropsTheOldestBeyondItsBound(t *testing.T) {
	runBatcher(t, func(t *testing.T, b *Batcher, store *faker.Store) {
		store.SetDown(true)
		for n := range maxPending + 2*maxBatch {
			b.Add(record(n))
		}
		time.Sleep(time.Second)
		store.SetDown(false)
		time.Sleep(5 * time.Second)
		keys := keysOf(store)
		if n := len(keys); n > maxPending+maxBatch || keys[n-1] != fmt.Sprint(maxPending+2*maxBatch-1) {
			t.Errorf("%d records are kept, the last is %s", n, keys[n-1])
		}
	})
}
