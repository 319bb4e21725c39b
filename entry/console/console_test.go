package console_test

import (
	"context"
	"html"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/entry/console"
	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/authorizer"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// fixture is the console of one entry with an in-memory log.
type fixture struct {
	t        *testing.T
	app      *fiber.App
	log      *memoryLog
	clock    *clockwork.FakeClock
	proposer *proposer.Proposer
	follower *accepter.Follower
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, app: fiber.New(), log: &memoryLog{changed: make(chan struct{})}, clock: clockwork.NewFakeClock()}
	c := coordinator.New(clockwork.NewRealClock(), f.log, router.NewRandom(1), recorder.New(), coordinator.Options{Policy: router.LeastExpectedWait{}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); c.Follower().Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	h := historian.New(f.log, c.Follower())
	f.follower, f.proposer = c.Follower(), proposer.New(c.Follower(), h)
	pages, err := console.New(f.clock, c, f.proposer, h)
	if err != nil {
		t.Fatal(err)
	}
	pages.Mount(f.app)
	team := validator.Team{
		Name: "fitters", Class: "live", KeyHashes: []string{authorizer.HashKey("f")}, RequestsPerSecond: 1, Burst: 1, InFlightLimit: 1,
	}
	f.propose("", validator.Document{
		Schema: validator.SchemaName, ID: "first", Author: "night-shift",
		Operators: []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("secret")}, {Name: "day-shift", KeyHash: authorizer.HashKey("d")}},
		Teams:     []validator.Team{team}, Limits: validator.Limits{MaxBodyBytes: 1, MaxTimeoutSeconds: 1, CrashQuarantineSeconds: 1},
	})
	return f
}

// propose publishes a document based on the revision in force. Without an operator
// it leaves the base as it is, for the first document, and checks no verdict.
func (f *fixture) propose(operator string, d validator.Document) {
	f.t.Helper()
	if operator != "" {
		s, _ := f.follower.State()
		d.Base = s.Revision
	}
	if r := f.proposer.Propose(f.t.Context(), d.Author, d); r == nil {
		f.t.Fatal(r)
	} else if _, ok := r.(proposer.Accepted); !ok && operator != "" {
		f.t.Fatalf("document not accepted: %+v", r)
	}
}

// browser simulates an operator's browser. It keeps the session cookie and the
// last response.
type browser struct {
	*fixture
	cookie string
	status int
	header http.Header
	page   string
}

func (b *browser) send(method, path string, form url.Values) {
	b.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(form.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	if b.cookie != "" {
		r.Header.Set("Cookie", "lycheeladder-session="+b.cookie)
	}
	response, err := b.app.Test(r, fiber.TestConfig{Timeout: time.Minute})
	if err != nil {
		b.t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	b.status, b.header, b.page = response.StatusCode, response.Header, string(data)
	for _, c := range response.Cookies() {
		b.cookie = c.Value
	}
}

func (b *browser) signIn(key string) {
	b.t.Helper()
	b.send("POST", "/console/sign-in", url.Values{"key": {key}})
}

// draftForm returns the hidden fields of the nth form with a draft on the page.
func (b *browser) draftForm(n int) url.Values {
	b.t.Helper()
	values := url.Values{}
	drafts := regexp.MustCompile(`(?s)<textarea hidden name="draft">(.*?)</textarea>`).FindAllStringSubmatch(b.page, -1)
	if n >= len(drafts) {
		b.t.Fatalf("no draft %d in a page of status %d:\n%s", n, b.status, b.page)
	}
	values.Set("draft", html.UnescapeString(drafts[n][1]))
	for _, name := range []string{"token", "section", "fields"} {
		if m := regexp.MustCompile(`name="` + name + `" value="([^"]*)"`).FindStringSubmatch(b.page); m != nil {
			values.Set(name, m[1])
		}
	}
	return values
}

// press submits the page's draft form with the button. typed holds pairs of a
// field's name and its value.
func (b *browser) press(button string, typed ...string) {
	b.t.Helper()
	form := b.draftForm(0)
	form.Set("do", button)
	for n := 0; n < len(typed); n += 2 {
		form.Set(typed[n], typed[n+1])
	}
	b.send("POST", "/console/draft", form)
}

// expect checks the last response's status and that the page contains the texts.
func (b *browser) expect(step string, status int, texts ...string) {
	b.t.Helper()
	if b.status != status {
		b.t.Fatalf("%s: status %d, want %d:\n%s", step, b.status, status, b.page)
	}
	for _, text := range texts {
		if !strings.Contains(b.page, text) {
			b.t.Fatalf("%s: no %q in:\n%s", step, text, b.page)
		}
	}
}

// newDraftBrowser returns a signed-in browser that shows the teams of a draft.
func newDraftBrowser(t *testing.T) *browser {
	t.Helper()
	b := &browser{fixture: newFixture(t)}
	b.signIn("secret")
	b.send("GET", "/console/draft/teams", nil)
	b.expect("draft", fiber.StatusOK, "fitters")
	return b
}

func TestConsole_RequiresKeyOfCurrentOperator(t *testing.T) {
	b := &browser{fixture: newFixture(t)}
	for _, path := range []string{"/console", "/console/history", "/console/history/1", "/console/draft/teams"} {
		b.send("GET", path, nil)
		if b.status != fiber.StatusSeeOther || b.header.Get("Location") != "/console/sign-in" {
			t.Errorf("%s without a session: status %d", path, b.status)
		}
	}
	b.signIn("wrong")
	b.expect("wrong key", fiber.StatusUnauthorized, "No operator")
	b.signIn("secret")
	for _, flag := range []string{"HttpOnly", "SameSite=Strict"} {
		if !strings.Contains(b.header.Get("Set-Cookie"), flag) {
			t.Errorf("cookie %q lacks %s", b.header.Get("Set-Cookie"), flag)
		}
	}
	b.send("GET", "/console", nil)
	b.expect("live", fiber.StatusOK, "Targets", "night-shift")
	for name, want := range map[string]string{"X-Frame-Options": "DENY", "Cache-Control": "no-store", "X-Content-Type-Options": "nosniff"} {
		if got := b.header.Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	if policy := b.header.Get("Content-Security-Policy"); !strings.HasPrefix(policy, "default-src 'none'; style-src 'self'; form-action 'self'") {
		t.Errorf("Content-Security-Policy %q", policy)
	}
	issued := b.cookie
	other := &browser{fixture: newFixture(t)} // Each entry signs cookies with its own secret.
	forged := strings.Replace(issued, "night-shift", "day-shift", 1)
	for name, client := range map[string]*browser{"forged": {fixture: b.fixture, cookie: forged}, "of another entry": {fixture: other.fixture, cookie: issued}} {
		client.send("GET", "/console", nil)
		if client.status != fiber.StatusSeeOther {
			t.Errorf("cookie %s: status %d", name, client.status)
		}
	}
	s, _ := b.follower.State()
	d := *s.Document
	d.ID, d.Author = "exchanged", "day-shift"
	d.Operators = []validator.Operator{{Name: "night-shift", KeyHash: authorizer.HashKey("next")}, d.Operators[1]}
	b.propose("day-shift", d)
	b.send("GET", "/console", nil)
	if b.status != fiber.StatusSeeOther {
		t.Errorf("cookie after the operator's key was replaced: status %d", b.status)
	}
}

func TestConsole_RejectsFormWithoutToken(t *testing.T) {
	b := newDraftBrowser(t)
	for _, token := range []string{"", "guessed"} {
		b.send("GET", "/console/draft/teams", nil)
		b.press("publish", "teams[0].burst", "9", "token", token)
		b.expect("token "+token, fiber.StatusForbidden, "Nothing was changed")
	}
	if s, _ := b.follower.State(); s.Revision != 1 {
		t.Errorf("revision %d in force, want 1", s.Revision)
	}
}

func TestConsole_ShowsFaultsAndKeepsInput(t *testing.T) {
	b := newDraftBrowser(t)
	b.press("show teams", "teams[0].burst", "lots", "teams[0].name", "Fitters <b>")
	b.expect("faults", fiber.StatusOK, `value="lots"`, `id="teams[0].burst-fault"`, "a whole number", `value="Fitters &lt;b&gt;"`, "kebab-case, 64")
	b.press("publish")
	b.expect("publish with faults", fiber.StatusUnprocessableEntity, "2 faults to mend")
	b.press("show teams")
	b.clock.Advance(9 * time.Hour)
	b.press("show teams", "teams[0].burst", "7")
	b.expect("session over", fiber.StatusOK, "your draft is kept", "Fitters")
	form := b.draftForm(0)
	form.Set("key", "secret")
	b.send("POST", "/console/sign-in", form)
	b.expect("signed in again", fiber.StatusOK, `value="Fitters &lt;b&gt;"`, `name="teams[0].burst" value="7"`)
}

func TestConsole_ShowsNewKeyOnce(t *testing.T) {
	b := newDraftBrowser(t)
	b.press("key 0")
	key := regexp.MustCompile(`<code class="key">([^<]+)</code>`).FindStringSubmatch(b.page)
	if key == nil {
		t.Fatalf("no key in:\n%s", b.page)
	}
	b.expect("its hash is in the draft", fiber.StatusOK, authorizer.HashKey(key[1]))
	for _, button := range []string{"show review", "publish"} {
		b.press(button)
		if strings.Contains(b.page, key[1]) {
			t.Errorf("%s shows the key again", button)
		}
	}
	s, _ := b.follower.State()
	if team, refusal := authorizer.NewIndex(s.Document, nil).AuthenticateTeam(key[1]); refusal != authorizer.RefusalNone || team.Name != "fitters" {
		t.Errorf("new key refused after publishing: %q", refusal)
	}
}

func TestConsole_RebasesAfterConflict(t *testing.T) {
	b := newDraftBrowser(t)
	s, _ := b.follower.State()
	theirs := *s.Document
	theirs.ID, theirs.Author, theirs.Limits.MaxTimeoutSeconds = "theirs", "day-shift", 30
	b.propose("day-shift", theirs)
	b.press("publish", "teams[0].burst", "9")
	b.expect("conflict", fiber.StatusConflict, "Another change came first", "Your changes", "Their changes", "max-timeout-seconds", "burst", "Rebase")
	form := b.draftForm(1)
	form.Set("do", "show review")
	b.send("POST", "/console/draft", form)
	b.expect("rebased", fiber.StatusOK, "Changes since revision 2", "burst")
	b.press("publish")
	b.expect("published", fiber.StatusOK, "In force as revision 3")
	s, _ = b.follower.State()
	if diff := cmp.Diff([2]int{9, 30}, [2]int{s.Document.Teams[0].Burst, s.Document.Limits.MaxTimeoutSeconds}); diff != "" {
		t.Errorf("in force (-want +got):\n%s", diff)
	}
}

func TestConsole_RetriesPublishAfterLogOutage(t *testing.T) {
	b := newDraftBrowser(t)
	b.log.setFailures(true, false)
	b.press("publish", "teams[0].burst", "9")
	b.expect("outage", fiber.StatusServiceUnavailable, "Not known yet", "draft is kept in this page", "Publish again", "9")
	if b.header.Get("Retry-After") == "" {
		t.Error("response has no Retry-After header")
	}
	b.log.setFailures(false, true)
	for range 2 {
		b.press("publish")
		b.expect("after the outage", fiber.StatusOK, "In force as revision 2")
	}
	if n := len(b.log.records); n != 2 {
		t.Errorf("%d records in the log, want 2", n)
	}
}
