// Package runner reads a sidecar's settings, starts it and stops it
// gracefully.
package runner

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
	"github.com/lycheeladder/lycheeladder/ladder/transporter"
)

const manual = `Runs beside one target and hands it all its work and orders.

It dials the entries named by --entry and by the platform's host list, keeps
every answer until the entry has it whole, and brings an engine to new weights.
On SIGTERM it takes no new work and finishes what it has, at most for
--drain-timeout; what is left then, or at a second SIGTERM, gets a final answer.
Each flag can be set by the environment variable shown.`

// Settings are a sidecar's flags and environment variables.
type Settings struct {
	starter.Common
	heartbeater.Settings
	Target       string            `help:"This target's name, unique in its service." required:""`
	Service      string            `help:"The service that the target belongs to." required:""`
	Zone         string            `help:"The availability zone of this host." required:""`
	Kind         string            `help:"What the target is: model-engine or plain." enum:"model-engine,plain" required:""`
	Address      starter.Address   `help:"Where the target listens, IP:port." required:""`
	Entry        []starter.Address `help:"An entry's peer listener, IP:port. May be given often."`
	Hosts        starter.Address   `help:"The platform's host list, IP:port."`
	Links        int               `help:"How many entries to link to at most, 0 for all. Targets times links should be twice the entries at least." default:"4"`
	Listen       starter.Address   `help:"Where to serve status and metrics, IP:port." default:"127.0.0.1:0"`
	LeaveDelay   time.Duration     `help:"How long a stop stays at least, to refuse work that entries sent before they heard of it." default:"4500ms"`
	DrainTimeout time.Duration     `help:"How long a stop waits for work in progress." default:"30s"`
	Retention    time.Duration     `help:"How long an answer that no entry has taken is kept." default:"5m"`
}

// Validate checks the constraints that the types of the flags can't express.
func (s Settings) Validate() error {
	switch {
	case len(s.Entry) == 0 && s.Hosts == "":
		return fmt.Errorf("--entry: none given, and no --hosts; give one at least")
	case s.Links < 0:
		return fmt.Errorf("--links: %d is below 0", s.Links)
	case s.LeaveDelay < 0:
		return fmt.Errorf("--leave-delay: %s is below 0", s.LeaveDelay)
	case s.DrainTimeout < 0:
		return fmt.Errorf("--drain-timeout: %s is below 0", s.DrainTimeout)
	case s.Retention < time.Second:
		return fmt.Errorf("--retention: %s is below 1s", s.Retention)
	}
	return nil
}

// Main runs a sidecar and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	var s Settings
	d := starter.Description{Name: "sidecar", Text: manual}
	return starter.Main(d, &s, &s.Common, arguments, stdout, stderr, func() error { return run(s) })
}

// statusShutdownTimeout is how long the shutdown waits for status requests in progress.
const statusShutdownTimeout = time.Second

func run(s Settings) error {
	e, err := encoder.New()
	if err != nil {
		return err
	}
	listener, err := server.Listen(string(s.Listen))
	if err != nil {
		return err
	}
	shutdown, release := starter.NotifyShutdown()
	defer release()
	v := newSupervisor(s, transporter.New(e))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { v.Run(ctx) })
	tasks.Go(func() {
		if err := server.Serve(ctx, statusApp(v), listener, statusShutdownTimeout); err != nil {
			klog.ErrorS(err, "status listener failed")
		}
	})
	klog.InfoS("sidecar started", "target", s.Target, "service", s.Service, "zone", s.Zone, "listen", listener.Addr().String())
	<-shutdown.Graceful.Done()
	drainCtx, cancelDrain := context.WithTimeout(shutdown.Forced, s.LeaveDelay+s.DrainTimeout)
	defer cancelDrain()
	left := v.Drain(drainCtx)
	klog.InfoS("sidecar stopped", "target", s.Target, "left", left)
	cancel()
	return nil
}

func newSupervisor(s Settings, t *transporter.Transporter) *supervisor.Supervisor {
	engine := s.Kind == "model-engine"
	options := supervisor.Options{
		Executor: executor.DefaultOptions(), Heartbeats: s.Options(),
		Address: string(s.Address), MaxLinks: s.Links, ListInterval: 2 * time.Second,
	}
	options.Executor.MinDrainTime = s.LeaveDelay
	options.Executor.Target = identifier.TargetName(s.Target)
	options.Executor.Service = identifier.ServiceName(s.Service)
	options.Executor.Zone = identifier.ZoneName(s.Zone)
	options.Executor.Incarnation = identifier.NewIncarnation()
	options.Executor.ModelEngine = engine
	options.Executor.ResponseRetention = s.Retention
	for _, address := range s.Entry {
		options.StaticEntries = append(options.StaticEntries, string(address))
	}
	var hosts lister.HostList
	if s.Hosts != "" {
		hosts = lister.NewHTTPHostList(string(s.Hosts))
	}
	return supervisor.New(clockwork.NewRealClock(), caller.NewHTTPTarget(string(s.Address), engine), t, hosts, options)
}

func statusApp(v *supervisor.Supervisor) *fiber.App {
	app := server.NewApp("sidecar", 1<<10)
	app.Get("/debug/vars", server.ServeMetrics)
	app.Get("/v1/status", func(c fiber.Ctx) error { return c.JSON(v.Executor().Status()) })
	return app
}
