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

// A GET of a section starts a draft, which then passes from page to page in a
// hidden field. Every button of the form submits the whole draft and the input of
// the current page. The button's value is the action and its argument, if it has
// one, as in "publish" or "remove 2".

// reviewPage is the page for reviewing a draft before it is published. Its name is
// used like that of a section, but the document has no such section.
const reviewPage = "review"

// draftContent is the content of the pages of a draft.
type draftContent struct {
	Section drafter.Section
	Items   []drafter.Item
	// Find is the search text for items. Found is the number of matches, which can
	// be larger than the number of Items.
	Find  string
	Found int
	Draft string
	Base  identifier.Revision
	// Behind is set if the draft's base is no longer the document in force.
	Behind bool
	// Count is the number of faults by section. Faults are those of all sections.
	Count  map[string]int
	Faults validator.Faults
	// Loose are the section's faults that belong to no item.
	Loose validator.Faults
	// Changes are the differences from the revision Against.
	Changes []differ.Change
	Against identifier.Revision
	// Waiting lists grants without a valid approval. Approved describes the
	// approvals of the other grants, by index.
	Waiting  []string
	Approved map[int]string
	// Key is a newly generated key, which is shown only once. KeyFor is the title
	// of its item.
	Key, KeyFor string
	Outcome     *outcome
}

// outcome is the result of publishing a draft.
type outcome struct {
	Accepted *proposer.Accepted
	Conflict *proposer.Conflict
	// Rebased is the draft rebased onto the current revision.
	Rebased string
	// Undecided is the reason why the outcome is not known.
	Undecided string
	// Again is the time from which publishing may be retried, Wait the time until
	// then.
	Again time.Time
	Wait  time.Duration
}

// newDraft starts a draft of the document in force and shows one of its sections.
func (c *Console) newDraft(x fiber.Ctx) error {
	s := c.state()
	c.historian.CacheDocument(s)
	d, err := drafter.New(*s.Document, s.Revision, operatorOf(x))
	if err != nil {
		return err
	}
	return c.renderDraft(x, d, x.Params("section"), nil)
}

// handleDraftForm handles a submitted page of a draft. If the session has ended,
// the sign-in page carries the draft, so that the input is not lost.
func (c *Console) handleDraftForm(x fiber.Ctx) error {
	name, ok := c.authenticator.OperatorFromCookie(c.state().Document, x.Cookies(cookieName))
	if !ok {
		return c.renderSignIn(x, signInContent{
			Message: "Your session has ended. Sign in to go on; your draft is kept in this page.",
			Draft:   c.draftWithInput(x), Section: x.FormValue("section"),
		})
	}
	x.Locals(operatorLocalsKey{}, name)
	if !c.authenticator.CheckFormToken(x.Cookies(cookieName), x.FormValue("token")) {
		x.Status(fiber.StatusForbidden)
		return c.render(x, "refused.html", "Refused", "", nil)
	}
	action, argument, _ := strings.Cut(x.FormValue("do"), " ")
	return c.performAction(x, action, argument)
}

// draftWithInput returns the submitted draft including the page's input, or "" if
// the draft is malformed.
func (c *Console) draftWithInput(x fiber.Ctx) string {
	d, err := parseDraftForm(x)
	if err != nil {
		return ""
	}
	return d.JSON()
}

// parseDraftForm reads the submitted draft and applies the page's input to it.
func parseDraftForm(x fiber.Ctx) (*drafter.Draft, error) {
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

// performAction applies a button's action to the submitted draft and shows the
// resulting page.
func (c *Console) performAction(x fiber.Ctx, action, argument string) error {
	d, err := parseDraftForm(x)
	if err != nil {
		return fiber.ErrBadRequest
	}
	here := x.FormValue("section")
	s, _ := drafter.SectionByName(here)
	n, _ := strconv.Atoi(argument)
	switch action {
	case "show":
		here = argument
	case "add":
		d.AddItem(s)
	case "remove":
		d.RemoveItem(s, n)
	case "key":
		key := d.NewKey(s, n)
		return c.renderDraft(x, d, here, func(content *draftContent) { content.setNewKey(n, key) })
	case "publish":
		return c.publish(x, d)
	}
	return c.renderDraft(x, d, here, nil)
}

// setNewKey shows a key that was generated for the nth item.
func (d *draftContent) setNewKey(n int, key string) {
	if n >= 0 && n < len(d.Items) {
		d.Key, d.KeyFor = key, d.Items[n].Title
	}
}

// renderDraft shows the section named here, or the review page if there is no such
// section. adjust, if not nil, changes the content before it is rendered.
func (c *Console) renderDraft(x fiber.Ctx, d *drafter.Draft, here string, adjust func(*draftContent)) error {
	document, faults := d.Document()
	state := c.state()
	faults = append(faults, approver.ValidateOwnerChanges(state.Document, &document)...)
	content := draftContent{
		Draft: d.JSON(), Base: document.Base, Behind: document.Base != state.Revision, Faults: faults,
		Count: countFaultsBySection(faults),
	}
	content.setApprovals(&document, c.clock.Now())
	s, ok := drafter.SectionByName(here)
	if !ok {
		content.Section = drafter.Section{Name: reviewPage, Title: "Review"}
		if err := c.addChanges(x, &content, &document); err != nil {
			return err
		}
		if adjust != nil {
			adjust(&content)
		}
		return c.render(x, "review.html", "Review", reviewPage, content)
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
	if adjust != nil {
		adjust(&content)
	}
	return c.render(x, "section.html", s.Title, s.Name, content)
}

// addChanges sets the draft's changes since its base. If the base is not available
// any more, it compares with the document in force.
func (c *Console) addChanges(x fiber.Ctx, content *draftContent, document *validator.Document) (err error) {
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
	// renewalNotice is how long before its expiry an approval is shown as due for
	// renewal.
	renewalNotice = 30 * day
)

// setApprovals sets which grants have an approval that is valid at now.
func (d *draftContent) setApprovals(document *validator.Document, now time.Time) {
	d.Approved = make(map[int]string, len(document.Grants))
	for n, g := range document.Grants {
		if _, ok := document.ServiceByName(g.Service); !ok {
			continue // The unknown service is reported as a fault already.
		}
		if err := approver.VerifyGrant(document, g, now); err != nil {
			d.Waiting = append(d.Waiting, fmt.Sprintf("%s → %s: %s", g.Team, g.Service, errors.Cause(err)))
			continue
		}
		d.Approved[n] = fmt.Sprintf("approved by %s until %s", g.Approval.Owner, g.Approval.Expires.UTC().Format(time.DateOnly))
		if left := g.Approval.Expires.Sub(now); left < renewalNotice {
			d.Approved[n] += fmt.Sprintf(": renew it, %d days are left", int(left/day))
		}
	}
}

func countFaultsBySection(faults validator.Faults) map[string]int {
	count := make(map[string]int)
	for _, f := range faults {
		count[sectionOf(f.Path)]++
	}
	return count
}

// sectionOf returns the name of the section that contains a document path.
func sectionOf(path string) string {
	section, _, _ := strings.Cut(path, ".")
	section, _, _ = strings.Cut(section, "[")
	return section
}

// publish proposes the draft. Whatever the result, the page keeps the draft with
// its document id, so that publishing again can't apply it twice. Only a rebased
// draft gets a new id.
func (c *Console) publish(x fiber.Ctx, d *drafter.Draft) error {
	document, faults := d.Document()
	if len(faults) > 0 {
		x.Status(fiber.StatusUnprocessableEntity)
		return c.renderDraft(x, d, reviewPage, nil)
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
		return c.renderDraft(x, d, reviewPage, func(content *draftContent) { content.Faults = r.Faults })
	case proposer.Undecided:
		x.Status(fiber.StatusServiceUnavailable)
		x.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(proposer.RetryAfter.Seconds())))
		o.Undecided, o.Wait, o.Again = r.Reason, proposer.RetryAfter, c.clock.Now().Add(proposer.RetryAfter)
	}
	return c.renderDraft(x, d, reviewPage, func(content *draftContent) { content.Outcome = o })
}
