package replicator

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

var partition = storer.Partition{Topic: "keyed.test"}

// mapSink keeps the newest value of each key; the Replicator's mutex guards it.
type mapSink map[string]string

func (s mapSink) Reset(records []storer.Record) { clear(s); s.Apply(records) }

func (s mapSink) Apply(records []storer.Record) {
	for _, r := range records {
		if s[r.Key] = string(r.Value); len(r.Value) == 0 {
			delete(s, r.Key)
		}
	}
}

// writer is one process with its own copy.
type writer struct {
	*Replicator
	copy mapSink
}

func newWriter(ctx context.Context, tasks *conc.WaitGroup, log storer.Log) *writer {
	w := &writer{copy: make(mapSink)}
	w.Replicator = New(clockwork.NewRealClock(), log, partition, w.copy, func() {})
	tasks.Go(func() { w.Run(ctx) })
	return w
}

// read returns a snapshot of the copy, under the lock that Append holds while it calls
// build.
func (w *writer) read() mapSink {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return maps.Clone(w.copy)
}

// claim writes the value at the next free position, at most once.
func (w *writer) claim(ctx context.Context, value string) error {
	return w.Append(ctx, func() []storer.Record {
		for _, v := range w.copy {
			if v == value {
				return nil
			}
		}
		return []storer.Record{{Key: strconv.Itoa(len(w.copy)), Value: []byte(value)}}
	})
}

// runWithStore runs f in virtual time with a store; the tasks end with f.
func runWithStore(t *testing.T, f func(ctx context.Context, tasks *conc.WaitGroup, store *faker.Store)) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var tasks conc.WaitGroup
		f(ctx, &tasks, faker.NewStore(clockwork.NewRealClock()))
		cancel()
		tasks.Wait()
	})
}

func valuesOf(records []storer.Record) (values []string) {
	for _, r := range records {
		values = append(values, string(r.Value))
	}
	return values
}

func TestAppend_LostOrLateAnswerWritesOnce(t *testing.T) {
	for name, fault := range map[string]faker.AppendFault{
		"answer lost": faker.LoseAnswer{}, "written 3 s later": faker.DelayAppend{By: 3 * time.Second},
		"written just after the timeout": faker.DelayAppend{By: appendTimeout + time.Millisecond}, "refused": faker.RefuseAppend{},
	} {
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(ctx context.Context, tasks *conc.WaitGroup, store *faker.Store) {
				w := newWriter(ctx, tasks, store)
				time.Sleep(time.Second)
				store.Fail(fault)
				err := w.claim(ctx, "a")
				if errors.Is(err, appender.ErrUnavailable) {
					err = w.claim(ctx, "a")
				}
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				if diff := cmp.Diff([]string{"a"}, valuesOf(store.All(partition))); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestAppend_UnavailableOnlyIfNothingIsEverWritten(t *testing.T) {
	runWithStore(t, func(ctx context.Context, tasks *conc.WaitGroup, store *faker.Store) {
		w := newWriter(ctx, tasks, store)
		time.Sleep(time.Second)
		// The first append takes effect late; all later ones are refused.
		store.Fail(faker.DelayAppend{By: 20 * time.Second})
		for range 200 {
			store.Fail(faker.RefuseAppend{})
		}
		timeoutCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		if err := w.claim(timeoutCtx, "a"); !errors.Is(err, appender.ErrOutcomeUnknown) {
			t.Errorf("got %v, want an unknown outcome", err)
		}
	})
}

func TestAppend_ManyWritersAgreeOnPositions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		writers, claims := rapid.IntRange(2, 4).Draw(r, "writers"), rapid.IntRange(1, 6).Draw(r, "claims")
		faults := rapid.SliceOfN(rapid.SampledFrom([]faker.AppendFault{
			nil, faker.LoseAnswer{}, faker.RefuseAppend{}, faker.DelayAppend{By: 2 * time.Second},
		}), 0, 12).Draw(r, "faults")
		runWithStore(t, func(ctx context.Context, tasks *conc.WaitGroup, store *faker.Store) {
			var claiming conc.WaitGroup
			store.Fail(faults...)
			for n := range writers {
				w := newWriter(ctx, tasks, store)
				claiming.Go(func() {
					for c := range claims {
						for w.claim(ctx, fmt.Sprintf("%d/%d", n, c)) != nil {
							time.Sleep(100 * time.Millisecond)
						}
					}
				})
			}
			claiming.Wait()
			time.Sleep(5 * time.Second)
			seen := make(map[string]string)
			for _, record := range store.All(partition) {
				if other, twice := seen[record.Key]; twice {
					r.Errorf("position %s was written twice: %q, %q", record.Key, other, record.Value)
				}
				seen[record.Key] = string(record.Value)
			}
			if len(seen) != writers*claims {
				r.Errorf("%d positions, want %d", len(seen), writers*claims)
			}
		})
	})
}

// busyStore counts appends and fails each of them at once; the test ends when there are too many.
type busyStore struct {
	*faker.Store
	failure error
	appends int
	end     func()
}

func (s *busyStore) Append(context.Context, storer.Partition, identifier.LogOffset, []storer.Record) (identifier.LogOffset, error) {
	if s.appends++; s.appends > 1000 {
		s.end()
	}
	return 0, s.failure
}

// Guards against appends that are repeated without a pause: the store refused the calls of all
// hosts, as one host's appends alone exceeded its limit.
func TestAppend_PausesWhileEachAttemptFailsAtOnce(t *testing.T) {
	for name, failure := range map[string]error{
		"connections are reset":              appender.ErrOutcomeUnknown,
		"the partition ends before the copy": &storer.EndMismatchError{End: 0},
		"the store refuses":                  appender.ErrUnavailable,
	} {
		t.Run(name, func(t *testing.T) {
			runWithStore(t, func(ctx context.Context, tasks *conc.WaitGroup, store *faker.Store) {
				store.Put(partition, storer.Record{Key: "other", Value: []byte("1")})
				timeoutCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
				defer cancel()
				busy := &busyStore{Store: store, failure: failure, end: cancel}
				w := newWriter(ctx, tasks, busy)
				time.Sleep(time.Second)
				if err := w.claim(timeoutCtx, "a"); err == nil {
					t.Error("the append succeeded")
				}
				if busy.appends > 20 {
					t.Errorf("%d appends in 5 s", busy.appends)
				}
			})
		})
	}
}

func TestRun_ReloadsAfterExpiredHistory(t *testing.T) {
	runWithStore(t, func(ctx context.Context, tasks *conc.WaitGroup, store *faker.Store) {
		store.Put(partition, storer.Record{Key: "a", Value: []byte("1")}, storer.Record{Key: "b", Value: []byte("1")})
		w := newWriter(ctx, tasks, store)
		time.Sleep(time.Second)
		store.SetDown(true)
		time.Sleep(2 * time.Second)
		store.Put(partition, storer.Record{Key: "a"}, storer.Record{Key: "c", Value: []byte("2")})
		store.Forget()
		store.SetDown(false)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(mapSink{"b": "1", "c": "2"}, w.read()); diff != "" {
			t.Error(diff)
		}
	})
}

// racingSnapshots writes a record between the snapshot and the read after it.
type racingSnapshots struct {
	*faker.Store
	between func()
}

func (s racingSnapshots) Newest(ctx context.Context, p storer.Partition, after string) (storer.SnapshotPage, error) {
	page, err := s.Store.Newest(ctx, p, after)
	s.between()
	return page, err
}

func TestKnown_IncludesRecordsWrittenDuringTheSnapshot(t *testing.T) {
	runWithStore(t, func(ctx context.Context, tasks *conc.WaitGroup, store *faker.Store) {
		log := racingSnapshots{store, func() { store.Put(partition, storer.Record{Key: "late", Value: []byte("1")}) }}
		w := newWriter(ctx, tasks, log)
		for !w.Known() {
			time.Sleep(time.Millisecond)
		}
		if diff := cmp.Diff(mapSink{"late": "1"}, w.read()); diff != "" {
			t.Error(diff)
		}
	})
}

// shortPages is a store that returns one record a page, and whose long polls are lost.
type shortPages struct{ *faker.Store }

func (s shortPages) Read(ctx context.Context, p storer.Partition, from identifier.LogOffset, wait time.Duration) (storer.Page, error) {
	if wait > 0 {
		<-ctx.Done()
		return storer.Page{}, appender.ErrOutcomeUnknown
	}
	page, err := s.Store.Read(ctx, p, from, 0)
	page.Records = page.Records[:min(1, len(page.Records))]
	return page, err
}

// Guards against a refresh that ends after one page and takes the rest for missing.
func TestRefresh_ReadsAllPages(t *testing.T) {
	runWithStore(t, func(ctx context.Context, tasks *conc.WaitGroup, store *faker.Store) {
		w := newWriter(ctx, tasks, shortPages{store})
		for !w.Known() {
			time.Sleep(time.Millisecond)
		}
		want := mapSink{"a": "1", "b": "2", "c": "3"}
		store.Put(partition, storer.Record{Key: "a", Value: []byte("1")}, storer.Record{Key: "b", Value: []byte("2")}, storer.Record{Key: "c", Value: []byte("3")})
		if err := w.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, w.read()); diff != "" {
			t.Error(diff)
		}
	})
}
