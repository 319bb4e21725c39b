// Package console is the operators' console: server-rendered forms on the
// entry's operator listener, which work without a script.
package console

import (
	"embed"
	"html/template"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/entry/authenticator"
	"github.com/lycheeladder/lycheeladder/entry/drafter"
	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
)

//go:embed pages
var files embed.FS

// Paths of the console.
const (
	pathLive    = "/console"
	pathSignIn  = "/console/sign-in"
	pathSignOut = "/console/sign-out"
	pathDraft   = "/console/draft"
	pathHistory = "/console/history"
	pathStyle   = "/console/style.css"
)

// cookieName is the session's cookie.
const cookieName = "lycheeladder-session"

// contentPolicy lets a page load its own style sheet and send its own forms,
// and nothing else.
const contentPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'"

// Console serves the pages.
type Console struct {
	clock         clockwork.Clock
	coordinator   *coordinator.Coordinator
	proposer      *proposer.Proposer
	historian     *historian.Historian
	authenticator *authenticator.Authenticator
	pages         *template.Template
}

// New returns a Console. It fails only if its own pages are broken.
func New(clock clockwork.Clock, c *coordinator.Coordinator, p *proposer.Proposer, h *historian.Historian) (*Console, error) {
	pages, err := template.New("").Funcs(functions).ParseFS(files, "pages/*.html")
	if err != nil {
		return nil, err
	}
	return &Console{
		clock: clock, coordinator: c, proposer: p, historian: h,
		authenticator: authenticator.New(clock), pages: pages,
	}, nil
}

// Mount adds the console's paths to the operators' application.
func (c *Console) Mount(app *fiber.App) {
	app.Get("/", func(x fiber.Ctx) error { return x.Redirect().To(pathLive) })
	pages := app.Group("/console", protect)
	pages.Get("/style.css", style)
	pages.Get("/sign-in", c.signInPage)
	pages.Post("/sign-in", c.signIn)
	pages.Post("/draft", c.change)
	pages.Use(c.signedIn)
	pages.Get("/", c.live)
	pages.Get("/history", c.history)
	pages.Get("/history/:revision", c.revision)
	pages.Get("/draft/:section", c.begin)
	pages.Post("/sign-out", c.signOut)
}

// protect sets the headers of every page.
func protect(x fiber.Ctx) error {
	x.Set(fiber.HeaderContentSecurityPolicy, contentPolicy)
	x.Set(fiber.HeaderXContentTypeOptions, "nosniff")
	x.Set(fiber.HeaderXFrameOptions, "DENY")
	x.Set(fiber.HeaderReferrerPolicy, "no-referrer")
	x.Set("Cross-Origin-Opener-Policy", "same-origin")
	x.Set(fiber.HeaderCacheControl, "no-store")
	return x.Next()
}

func style(x fiber.Ctx) error {
	data, err := files.ReadFile("pages/style.css")
	if err != nil {
		return err
	}
	return x.Type("css").Send(data)
}

// page is what every page has.
type page struct {
	Title string
	// Operator is empty on the page to sign in.
	Operator identifier.OperatorName
	Entry    identifier.EntryName
	Revision identifier.Revision
	Token    string
	// Here is the menu's present line.
	Here     string
	Sections []drafter.Section
	// Content is what the page's own template shows.
	Content any
}

// operatorKey is where signedIn leaves the operator's name.
type operatorKey struct{}

func operatorOf(x fiber.Ctx) identifier.OperatorName {
	name, _ := x.Locals(operatorKey{}).(identifier.OperatorName)
	return name
}

func (c *Console) state() accepter.State {
	s, _ := c.coordinator.Follower().State()
	return s
}

// show writes a page from the template named name.
func (c *Console) show(x fiber.Ctx, name, title, here string, content any) error {
	p := page{
		Title: title, Operator: operatorOf(x), Entry: c.coordinator.Name(), Revision: c.state().Revision,
		Token: c.authenticator.FormToken(x.Cookies(cookieName)), Here: here, Sections: drafter.Sections, Content: content,
	}
	x.Set(fiber.HeaderContentType, fiber.MIMETextHTMLCharsetUTF8)
	if err := c.pages.ExecuteTemplate(x.Response().BodyWriter(), name, p); err != nil {
		klog.ErrorS(err, "console page failed", "page", name)
		return fiber.ErrInternalServerError
	}
	return nil
}
