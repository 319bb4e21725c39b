package console

import (
	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/entry/authenticator"
)

// signInContent is the content of the sign-in page.
type signInContent struct {
	Message string
	// Draft and Section keep a draft, and the section in view, when the session
	// has ended while the operator edited the draft.
	Draft   string
	Section string
	// Ready is false while no document is in force, since nobody can sign in then.
	Ready bool
}

func (c *Console) signInPage(x fiber.Ctx) error { return c.renderSignIn(x, signInContent{}) }

func (c *Console) renderSignIn(x fiber.Ctx, content signInContent) error {
	content.Ready = c.state().Document != nil
	return c.render(x, "sign-in.html", "Sign in", "", content)
}

// requireOperator redirects to the sign-in page unless the request has a valid
// session.
func (c *Console) requireOperator(x fiber.Ctx) error {
	name, ok := c.authenticator.OperatorFromCookie(c.state().Document, x.Cookies(cookieName))
	if !ok {
		return x.Redirect().To(pathSignIn)
	}
	x.Locals(operatorLocalsKey{}, name)
	return x.Next()
}

func (c *Console) signIn(x fiber.Ctx) error {
	o, ok := authenticator.OperatorByKey(c.state().Document, x.FormValue("key"))
	content := signInContent{Draft: x.FormValue("draft"), Section: x.FormValue("section")}
	if !ok {
		klog.InfoS("console sign-in refused", "from", x.IP())
		x.Status(fiber.StatusUnauthorized)
		content.Message = "No operator in the document in force has this key."
		return c.renderSignIn(x, content)
	}
	klog.InfoS("console sign-in", "operator", o.Name, "from", x.IP())
	cookie := c.authenticator.NewCookie(o)
	c.setCookie(x, cookie, int(authenticator.SessionLifetime.Seconds()))
	if content.Draft == "" {
		return x.Redirect().To(pathLive)
	}
	// The draft is shown in this same response. The page's form token must belong
	// to the new cookie, so set it in the request as well.
	x.Request().Header.SetCookie(cookieName, cookie)
	x.Locals(operatorLocalsKey{}, o.Name)
	return c.performAction(x, "show", content.Section)
}

func (c *Console) signOut(x fiber.Ctx) error {
	if c.authenticator.CheckFormToken(x.Cookies(cookieName), x.FormValue("token")) {
		c.setCookie(x, "", -1)
	}
	return x.Redirect().To(pathSignIn)
}

func (c *Console) setCookie(x fiber.Ctx, value string, maxAge int) {
	x.Cookie(&fiber.Cookie{
		Name: cookieName, Value: value, Path: pathLive, MaxAge: maxAge,
		HTTPOnly: true, SameSite: fiber.CookieSameSiteStrictMode,
	})
}
