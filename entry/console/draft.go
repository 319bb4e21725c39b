package console

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/entry/drafter"
	"github.com/lycheeladder/lycheeladder/ladder/approver"
	"github.com/lycheeladder/lycheeladder/ladder/differ"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// A draft begins with a GET of a section and then goes from page to page in a
// hidden field. Every button of its form sends the whole of it, with what was
// typed on the page in view; the button's value says what to do: "publish", or
// a word and what it is about, as in "remove teams 2".

// review is the page before publishing; it is no section of the document.
const review = "review"

// draftContent is what the pages of a draft show.
type draftContent struct {
	Section drafter.Section
	Items   []drafter.Item
	// Find is the text that the items' names contain; Found counts them.
	Find  string
	Found int
	Draft string
	Base  identifier.Revision
	// Behind is set if another document is in force than the draft's base.
	Behind bool
	// Count gives the faults of each section; Faults are all of them.
	Count  map[string]int
	Faults validator.Faults
	// Loose are the section's faults that stand at no item.
	Loose validator.Faults
	// Changes are those since the revision Against.
	Changes []differ.Change
	Against identifier.Revision
	// Waiting lists grants without a valid approval; Approved says until when
	// each of the others is approved, by its place.
	Waiting  []string
	Approved map[int]string
	// Key is a key just made, shown this once.
	Key, KeyFor string
	Outcome     *outcome
}

// outcome is what publishing gave.
type outcome struct {
	Accepted *proposer.Accepted
	Conflict *proposer.Conflict
	// Rebased is the draft on top of the current revision.
	Rebased   string
	Undecided string
	Again     time.Time
	Wait      time.Duration
}

// begin starts a draft from the document in force.
func (c *Console) begin(x fiber.Ctx) error {
	s := c.state()
	c.historian.CacheDocument(s)
	d, err := drafter.New(*s.Document, s.Revision, operatorOf(x))
	if err != nil {
		return err
	}
	return c.showDraft(x, d, x.Params("section"), nil)
}

// change takes a page of a draft and does what its button says.
func (c *Console) change(x fiber.Ctx) error {
	name, ok := c.authenticator.OperatorFromCookie(c.state().Document, x.Cookies(cookieName))
	if !ok {
		return c.askToSignIn(x, signInContent{
			Message: "Your session has ended. Sign in to go on; your draft is kept in this page.",
			Draft:   c.typed(x), Section: x.FormValue("section"),
		})
	}
	x.Locals(operatorKey{}, name)
	if !c.authenticator.CheckFormToken(x.Cookies(cookieName), x.FormValue("token")) {
		x.Status(fiber.StatusForbidden)
		return c.show(x, "refused.html", "Refused", "", nil)
	}
	word, about, _ := strings.Cut(x.FormValue("do"), " ")
	return c.goOn(x, word, about)
}

// typed returns the draft with what was typed on the page.
func (c *Console) typed(x fiber.Ctx) string {
	d, err := take(x)
	if err != nil {
		return ""
	}
	return d.JSON()
}

// take reads the draft and puts the fields of the page into it.
func take(x fiber.Ctx) (*drafter.Draft, error) {
	d, err := drafter.Parse([]byte(x.FormValue("draft")))
	if err != nil {
		return nil, err
	}
	form := x.Request().PostArgs()
	if s, ok := drafter.SectionByName(x.FormValue("section")); ok && form.Has("fields") {
		d.ApplyForm(s, func(path string) (string, bool) { return string(form.Peek(path)), form.Has(path) })
	}
	return d, nil
}

func (c *Console) goOn(x fiber.Ctx, word, about string) error {
	d, err := take(x)
	if err != nil {
		return fiber.ErrBadRequest
	}
	here := x.FormValue("section")
	s, _ := drafter.SectionByName(here)
	n, _ := strconv.Atoi(about)
	switch word {
	case "show":
		here = about
	case "add":
		d.AddItem(s)
	case "remove":
		d.RemoveItem(s, n)
	case "key":
		key := d.NewKey(s, n)
		return c.showDraft(x, d, here, func(content *draftContent) { content.showKey(n, key) })
	case "publish":
		return c.publish(x, d)
	}
	return c.showDraft(x, d, here, nil)
}

func (d *draftContent) showKey(n int, key string) {
	if n >= 0 && n < len(d.Items) {
		d.Key, d.KeyFor = key, d.Items[n].Title
	}
}

// showDraft shows a section of the draft, or the review.
func (c *Console) showDraft(x fiber.Ctx, d *drafter.Draft, here string, more func(*draftContent)) error {
	document, faults := d.Document()
	state := c.state()
	faults = append(faults, approver.ValidateOwnerChanges(state.Document, &document)...)
	content := draftContent{
		Draft: d.JSON(), Base: document.Base, Behind: document.Base != state.Revision, Faults: faults,
		Count: countBySection(faults),
	}
	content.approvals(&document, c.clock.Now())
	s, ok := drafter.SectionByName(here)
	if !ok {
		content.Section = drafter.Section{Name: review, Title: "Review"}
		if err := c.compare(x, &content, &document); err != nil {
			return err
		}
		if more != nil {
			more(&content)
		}
		return c.show(x, "review.html", "Review", review, content)
	}
	content.Section, content.Find = s, strings.TrimSpace(x.FormValue("find"))
	if x.FormValue("section") != s.Name || strings.HasPrefix(x.FormValue("do"), "add") {
		content.Find = ""
	}
	content.Items, content.Found = d.FormItems(s, faults, content.Find)
	for _, f := range faults {
		if f.Path == s.Name {
			content.Loose = append(content.Loose, f)
		}
	}
	if more != nil {
		more(&content)
	}
	return c.show(x, "section.html", s.Title, s.Name, content)
}

// compare lists the draft's changes since its base, or, where the base is not
// known any more, against what is in force.
func (c *Console) compare(x fiber.Ctx, content *draftContent, document *validator.Document) (err error) {
	content.Against = document.Base
	base, err := c.historian.At(x.Context(), document.Base)
	if err != nil || base == nil {
		state := c.state()
		content.Against, base = state.Revision, state.Document
	}
	content.Changes, err = differ.Diff(base, document)
	return err
}

const (
	day = 24 * time.Hour
	// renewal is how long before its end an approval should be renewed.
	renewal = 30 * day
)

// approvals tells which grants have a valid approval at now.
func (d *draftContent) approvals(document *validator.Document, now time.Time) {
	d.Approved = make(map[int]string, len(document.Grants))
	for n, g := range document.Grants {
		if _, ok := document.ServiceByName(g.Service); !ok {
			continue // A fault already says so.
		}
		if err := approver.VerifyGrant(document, g, now); err != nil {
			d.Waiting = append(d.Waiting, fmt.Sprintf("%s → %s: %s", g.Team, g.Service, errors.Cause(err)))
			continue
		}
		d.Approved[n] = fmt.Sprintf("approved by %s until %s", g.Approval.Owner, g.Approval.Expires.UTC().Format(time.DateOnly))
		if left := g.Approval.Expires.Sub(now); left < renewal {
			d.Approved[n] += fmt.Sprintf(": renew it, %d days are left", int(left/day))
		}
	}
}

func countBySection(faults validator.Faults) map[string]int {
	count := make(map[string]int)
	for _, f := range faults {
		count[sectionOf(f.Path)]++
	}
	return count
}

// sectionOf returns the section that a path in the document is in.
func sectionOf(path string) string {
	section, _, _ := strings.Cut(path, ".")
	section, _, _ = strings.Cut(section, "[")
	return section
}

// publish proposes the draft. Whatever the answer, the draft stays in the
// page, with the same document id unless it is rebased.
func (c *Console) publish(x fiber.Ctx, d *drafter.Draft) error {
	document, faults := d.Document()
	if len(faults) > 0 {
		x.Status(fiber.StatusUnprocessableEntity)
		return c.showDraft(x, d, review, nil)
	}
	o := &outcome{}
	switch r := c.proposer.Propose(x.Context(), operatorOf(x), document).(type) {
	case proposer.Accepted:
		o.Accepted = &r
	case proposer.Conflict:
		x.Status(fiber.StatusConflict)
		o.Conflict = &r
		if r.Rebased != nil {
			rebased, err := drafter.New(*r.Rebased, r.Rebased.Base, r.Rebased.Author)
			if err != nil {
				return err
			}
			o.Rebased = rebased.JSON()
		}
	case proposer.Invalid:
		x.Status(fiber.StatusUnprocessableEntity)
		return c.showDraft(x, d, review, func(content *draftContent) { content.Faults = r.Faults })
	case proposer.Undecided:
		x.Status(fiber.StatusServiceUnavailable)
		x.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(proposer.RetryAfter.Seconds())))
		o.Undecided, o.Wait, o.Again = r.Reason, proposer.RetryAfter, c.clock.Now().Add(proposer.RetryAfter)
	}
	return c.showDraft(x, d, review, func(content *draftContent) { content.Outcome = o })
}
