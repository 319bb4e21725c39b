package server

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gofiber/fiber/v3"
)

func TestNewApp_PanicFailsOnlyOneRequest(t *testing.T) {
	app := NewApp("test", 1<<10)
	app.Get("/fails", func(fiber.Ctx) error { panic("unexpected request") })
	app.Get("/works", func(c fiber.Ctx) error { return c.SendString("answer") })
	for path, want := range map[string]int{"/fails": http.StatusInternalServerError, "/works": http.StatusOK} {
		response, err := app.Test(httptest.NewRequest(http.MethodGet, path, nil))
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != want {
			t.Errorf("%s: status %d, want %d", path, response.StatusCode, want)
		}
		response.Body.Close()
	}
}
