package runner

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// logService simulates the platform's append-only log service in memory.
type logService struct {
	Listen    starter.Address `help:"Where to listen, IP:port." default:"127.0.0.1:0"`
	Retention time.Duration   `help:"How long records are kept." default:"24h"`

	mutex   sync.Mutex
	streams map[identifier.StreamName]*stream
}

// stream holds the retained records of one log stream.
type stream struct {
	// firstOffset is the offset of the oldest retained record.
	firstOffset identifier.LogOffset
	records     []appender.Record
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func (l *logService) run(ctx context.Context, _ io.Writer) error {
	l.streams = make(map[identifier.StreamName]*stream)
	app := server.NewApp("log", bodyLimit)
	addFaultInjection(app)
	app.Post("/streams/:stream/records", l.append)
	app.Get("/streams/:stream/records", l.read)
	return serve(ctx, "log", l.Listen, app)
}

func (l *logService) append(c fiber.Ctx) error {
	var request appender.AppendRequest
	if err := c.Bind().JSON(&request); err != nil || len(request.Records) == 0 {
		return fiber.ErrBadRequest
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.streamNamed(identifier.StreamName(c.Params("stream")))
	first := s.nextOffset()
	for _, data := range request.Records {
		s.records = append(s.records, appender.Record{Offset: s.nextOffset(), Time: time.Now(), Data: data})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return c.JSON(appender.AppendResponse{First: first})
}

// read waits up to wait-ms for records from the given offset on.
func (l *logService) read(c fiber.Ctx) error {
	from := identifier.LogOffset(fiber.Query[uint64](c, "from"))
	limit := fiber.Query(c, "limit", 100)
	timeout := time.After(time.Duration(fiber.Query[int](c, "wait-ms")) * time.Millisecond)
	name := identifier.StreamName(string([]byte(c.Params("stream"))))
	for {
		page, changed := l.readPage(name, from, limit)
		if len(page.Records) > 0 {
			return c.JSON(page)
		}
		select {
		case <-changed:
		case <-timeout:
			return c.JSON(page)
		}
	}
}

// readPage drops expired records and returns those from the given offset on,
// with a channel that is closed at the next append.
func (l *logService) readPage(name identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.streamNamed(name)
	for len(s.records) > 0 && time.Since(s.records[0].Time) > l.Retention {
		s.firstOffset = s.records[0].Offset + 1
		s.records = s.records[1:]
	}
	page := appender.Page{FirstRetained: s.firstOffset, Next: s.nextOffset()}
	if skip := max(from, s.firstOffset) - s.firstOffset; skip < identifier.LogOffset(len(s.records)) {
		records := s.records[skip:]
		page.Records = records[:min(len(records), limit)]
	}
	return page, s.changed
}

// streamNamed returns the stream, which it creates if needed. The caller holds
// the mutex.
func (l *logService) streamNamed(name identifier.StreamName) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() identifier.LogOffset {
	return s.firstOffset + identifier.LogOffset(len(s.records))
}
