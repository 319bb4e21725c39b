package console

import (
	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/entry/authenticator"
)

// signInContent is what the page to sign in shows.
type signInContent struct {
	Message string
	// Draft and Section carry a draft over a session that has ended.
	Draft   string
	Section string
	// Ready is false while nothing is in force, so that nobody can sign in.
	Ready bool
}

func (c *Console) signInPage(x fiber.Ctx) error { return c.askToSignIn(x, signInContent{}) }

func (c *Console) askToSignIn(x fiber.Ctx, content signInContent) error {
	content.Ready = c.state().Document != nil
	return c.show(x, "sign-in.html", "Sign in", "", content)
}

// signedIn lets only operators through. Whoever isn't one is asked to sign in.
func (c *Console) signedIn(x fiber.Ctx) error {
	name, ok := c.authenticator.OperatorFromCookie(c.state().Document, x.Cookies(cookieName))
	if !ok {
		return x.Redirect().To(pathSignIn)
	}
	x.Locals(operatorKey{}, name)
	return x.Next()
}

func (c *Console) signIn(x fiber.Ctx) error {
	o, ok := authenticator.OperatorByKey(c.state().Document, x.FormValue("key"))
	content := signInContent{Draft: x.FormValue("draft"), Section: x.FormValue("section")}
	if !ok {
		klog.InfoS("console sign-in refused", "from", x.IP())
		x.Status(fiber.StatusUnauthorized)
		content.Message = "No operator in the document in force has this key."
		return c.askToSignIn(x, content)
	}
	klog.InfoS("console sign-in", "operator", o.Name, "from", x.IP())
	cookie := c.authenticator.NewCookie(o)
	c.setCookie(x, cookie, int(authenticator.SessionLifetime.Seconds()))
	if content.Draft == "" {
		return x.Redirect().To(pathLive)
	}
	// The draft goes on at once, under the new cookie.
	x.Request().Header.SetCookie(cookieName, cookie)
	x.Locals(operatorKey{}, o.Name)
	return c.goOn(x, "show", content.Section)
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
