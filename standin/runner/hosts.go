package runner

import (
	"context"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// hostList simulates the platform's list of hosts. PUT /hosts/{name} changes a
// host; the list shows the change after Lag.
type hostList struct {
	Listen starter.Address `help:"Where to listen, IP:port." default:"127.0.0.1:0"`
	Lag    time.Duration   `help:"How late a change shows." default:"2s"`
	Host   []string        `help:"A host as name,role,IP:port,zone. May be given often." placeholder:"HOST" sep:"none"`

	mutex sync.Mutex
	hosts []lister.Host
}

func (h *hostList) run(ctx context.Context, _ io.Writer) error {
	for _, text := range h.Host {
		fields := strings.Split(text, ",")
		if len(fields) != 4 {
			return errors.Errorf("--host: %q is not name,role,IP:port,zone", text)
		}
		h.hosts = append(h.hosts, lister.Host{
			Name: fields[0], Role: lister.HostRole(fields[1]), Address: fields[2],
			Zone: identifier.ZoneName(fields[3]), State: lister.HostLive,
		})
	}
	app := server.NewApp("hosts", bodyLimit)
	addFaultInjection(app)
	app.Get("/hosts", func(c fiber.Ctx) error {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return c.JSON(h.hosts)
	})
	app.Put("/hosts/:name", h.put)
	return serve(ctx, "hosts", h.Listen, app)
}

func (h *hostList) put(c fiber.Ctx) error {
	var host lister.Host
	if err := c.Bind().JSON(&host); err != nil || host.Name == "" {
		return fiber.ErrBadRequest
	}
	time.AfterFunc(h.Lag, func() { h.set(host) })
	return c.SendStatus(fiber.StatusOK)
}

func (h *hostList) set(host lister.Host) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for n := range h.hosts {
		if h.hosts[n].Name == host.Name {
			h.hosts[n] = host
			return
		}
	}
	h.hosts = append(h.hosts, host)
}
