package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	routeHost      = "models.example"
	streamDeadline = 12 * time.Second
	// maxTries is how often a client tries in all, unless its stream says otherwise.
	maxTries = 8
	// minPause is the pause before a try if the response names none.
	minPause = 100 * time.Millisecond
)

// stream is one request for a stream by a client that takes it up again.
type stream struct {
	id string
	// first is the attempt that brought the first event, last the last event.
	first string
	last  int
	// begun means that an event has arrived, takenUp that the client has tried to take the stream
	// up, and wentOn that an event has arrived after that.
	begun, takenUp, wentOn, complete bool
	// tries is how often the client tries; 0 means maxTries.
	tries int
	// software has the software versions that made the events.
	software []string
}

var errRefused = errors.New("refused")

// play sends the stream's attempts, each over a new connection to another host.
func (s *stream) play(d *deployment, offset int) {
	deadline := time.Now().Add(streamDeadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	tries := s.tries
	if tries == 0 {
		tries = maxTries
	}
	for try := range tries {
		h := d.hosts[(offset+try)%len(d.hosts)]
		before := s.last
		if before > 0 {
			s.takenUp = true
		}
		pause, err := s.attempt(ctx, h, try, deadline)
		if s.last > before && before > 0 {
			s.wentOn = true
		}
		d.record.add("client: stream %s, try %d at %s: events %d to %d, %v", s.id, try, h.name, before+1, s.last, err)
		if err == nil {
			s.complete = true
			return
		}
		if left := time.Until(deadline); left < time.Second {
			return
		} else if pause > left/3 {
			pause = left / 3
		}
		time.Sleep(max(pause, minPause))
	}
}

// attempt sends one attempt and reads events until the response ends. It returns the pause that the
// response asks for.
func (s *stream) attempt(ctx context.Context, h *host, try int, deadline time.Time) (pause time.Duration, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/e/"+s.id, strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	id := fmt.Sprintf("%s-%d", s.id, try)
	r.Host = routeHost
	r.Header.Set(headerID, id)
	r.Header.Set(prefix+"Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	r.Header.Set(prefix+"Model", "m")
	r.Header.Set(prefix+"Token-Usage", "16,60")
	r.Header.Set(prefix+"Prompt-Prefix", s.id+":16")
	if s.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		r.Header.Set("Resumes", s.first)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), fmt.Errorf("%w with status %d", errRefused, response.StatusCode)
	}
	number, software := 0, ""
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "id: "):
			number, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			software = line[strings.LastIndexByte(line, ' ')+1:]
		case line == "" && number > 0:
			if !s.begun {
				s.begun, s.first = true, id
			}
			s.last, number = number, 0
			if !slices.Contains(s.software, software) {
				s.software = append(s.software, software)
			}
		}
	}
	return 0, lines.Err()
}
