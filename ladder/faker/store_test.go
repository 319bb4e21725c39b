package faker_test

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// Guards against a read of the log that has more than readers accept, if many large records were
// appended since their last one.
func TestStore_ReadHasOnePage(t *testing.T) {
	const records, recordBytes, pageBytes = 20, 512 << 10, 1 << 20
	s, p := faker.NewStore(clockwork.NewRealClock()), storer.Partition{Topic: "jobs"}
	for range records {
		s.Put(p, storer.Record{Key: "k", Value: make([]byte, recordBytes)})
	}
	read := 0
	for read < records {
		page, err := s.Read(t.Context(), p, identifier.LogOffset(read), 0)
		if n := len(page.Records); err != nil || n == 0 || n*recordBytes > pageBytes || page.End != records {
			t.Fatalf("at %d: %d records, end %d, %v", read, n, page.End, err)
		}
		read += len(page.Records)
	}
}
