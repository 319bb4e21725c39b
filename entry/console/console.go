// Package console serves the operators' web console on the entry's operator
// listener. Its pages are rendered on the server and need no JavaScript.
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
var pageFiles embed.FS

// Paths of the console.
const (
	pathLive    = "/console"
	pathSignIn  = "/console/sign-in"
	pathSignOut = "/console/sign-out"
	pathDraft   = "/console/draft"
	pathHistory = "/console/history"
	pathStyle   = "/console/style.css"
)

// cookieName is the name of the session cookie.
const cookieName = "lycheeladder-session"

// contentSecurityPolicy allows a page to load the console's style sheet and to
// submit the console's forms, and nothing else.
const contentSecurityPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'"

// Console serves the console's pages.
type Console struct {
	clock         clockwork.Clock
	coordinator   *coordinator.Coordinator
	proposer      *proposer.Proposer
	historian     *historian.Historian
	authenticator *authenticator.Authenticator
	pages         *template.Template
}

// New returns a Console. It fails only if an embedded template is invalid.
func New(clock clockwork.Clock, c *coordinator.Coordinator, p *proposer.Proposer, h *historian.Historian) (*Console, error) {
	pages, err := template.New("").Funcs(templateFunctions).ParseFS(pageFiles, "pages/*.html")
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
	pages := app.Group("/console", setSecurityHeaders)
	pages.Get("/style.css", style)
	pages.Get("/sign-in", c.signInPage)
	pages.Post("/sign-in", c.signIn)
	pages.Post("/draft", c.handleDraftForm)
	pages.Use(c.requireOperator)
	pages.Get("/", c.live)
	pages.Get("/history", c.history)
	pages.Get("/history/:revision", c.revision)
	pages.Get("/draft/:section", c.newDraft)
	pages.Post("/sign-out", c.signOut)
}

// setSecurityHeaders sets the security and cache headers of every response.
func setSecurityHeaders(x fiber.Ctx) error {
	x.Set(fiber.HeaderContentSecurityPolicy, contentSecurityPolicy)
	x.Set(fiber.HeaderXContentTypeOptions, "nosniff")
	x.Set(fiber.HeaderXFrameOptions, "DENY")
	x.Set(fiber.HeaderReferrerPolicy, "no-referrer")
	x.Set("Cross-Origin-Opener-Policy", "same-origin")
	x.Set(fiber.HeaderCacheControl, "no-store")
	return x.Next()
}

func style(x fiber.Ctx) error {
	data, err := pageFiles.ReadFile("pages/style.css")
	if err != nil {
		return err
	}
	return x.Type("css").Send(data)
}

// page is the data that the templates of all pages get.
type page struct {
	Title string
	// Operator is empty if nobody is signed in.
	Operator identifier.OperatorName
	Entry    identifier.EntryName
	Revision identifier.Revision
	Token    string
	// Here is the name of the current menu item.
	Here     string
	Sections []drafter.Section
	// Content is the data of the page's own template.
	Content any
}

// operatorLocalsKey is the key under which a signed-in operator's name is stored
// in the request's locals.
type operatorLocalsKey struct{}

func operatorOf(x fiber.Ctx) identifier.OperatorName {
	name, _ := x.Locals(operatorLocalsKey{}).(identifier.OperatorName)
	return name
}

func (c *Console) state() accepter.State {
	s, _ := c.coordinator.Follower().State()
	return s
}

// render executes the named template as the response. here is the name of the
// current menu item.
func (c *Console) render(x fiber.Ctx, name, title, here string, content any) error {
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
