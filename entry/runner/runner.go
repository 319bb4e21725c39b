// Package runner reads an entry's settings, starts it and stops it gracefully.
package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/entry/console"
	"github.com/lycheeladder/lycheeladder/entry/publisher"
	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/proposer"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
	"github.com/lycheeladder/lycheeladder/ladder/transporter"
)

const manual = `Faces callers, trainers and operators, and gives their requests to sidecars.

Callers and trainers use --listen, sidecars --peer-listen, operators
--operator-listen. What is in force comes from the platform's log; a log that is
down is waited for. On SIGTERM the entry says that it leaves, takes calls for
--leave-delay more, and finishes what it has, at most for --drain-timeout; what
is left then, or at a second SIGTERM, gets a final answer. Each flag can be set by the environment
variable shown.`

// Settings are an entry's flags and environment variables.
type Settings struct {
	starter.Common
	heartbeater.Settings
	Name           string            `help:"This entry's name." required:""`
	Zone           string            `help:"The availability zone of this host." required:""`
	Listen         starter.Address   `help:"Where callers and trainers come in, IP:port." required:""`
	PeerListen     starter.Address   `help:"Where sidecars come in, IP:port." required:""`
	OperatorListen starter.Address   `help:"Where operators come in, IP:port." required:""`
	Log            starter.Address   `help:"The platform's log service, IP:port." required:""`
	LogRetention   time.Duration     `help:"How long the log keeps records; what is in force is written again well before." default:"24h"`
	Peer           []starter.Address `help:"Another entry's peer listener, IP:port, asked for what is in force where the log can't tell; may be repeated." placeholder:"IP:PORT"`
	Hosts          starter.Address   `help:"The platform's host list, IP:port, for entries not named by --peer."`
	LeaveDelay     time.Duration     `help:"How long a stop still takes calls, for the balancer to notice." default:"2s"`
	DrainTimeout   time.Duration     `help:"How long a stop waits for requests in progress." default:"30s"`
	KeyMaxAge      time.Duration     `help:"The oldest idempotency key taken; shorter than the log keeps records." default:"15m"`
	SampleTimeout  time.Duration     `help:"The longest attempt at one sample." default:"10m"`
	MemoryMB       int               `name:"memory-mb" help:"The machine's memory in MiB; 0 if unknown, which counts as 256." default:"0"`
	MaxFDs         int               `name:"max-fds" help:"How many descriptors the process may open; 0 for the limit of the system." default:"0"`
}

// Validate checks the constraints that the types of the flags can't express.
func (s Settings) Validate() error {
	switch {
	case s.LeaveDelay < 0:
		return fmt.Errorf("--leave-delay: %s is below 0", s.LeaveDelay)
	case s.DrainTimeout < 0:
		return fmt.Errorf("--drain-timeout: %s is below 0", s.DrainTimeout)
	case s.KeyMaxAge <= 0:
		return fmt.Errorf("--key-max-age: %s is not above 0", s.KeyMaxAge)
	case s.LogRetention <= s.KeyMaxAge:
		return fmt.Errorf("--log-retention: %s is not above --key-max-age", s.LogRetention)
	case s.MemoryMB < 0:
		return fmt.Errorf("--memory-mb: %d is below 0", s.MemoryMB)
	case s.MaxFDs < 0:
		return fmt.Errorf("--max-fds: %d is below 0", s.MaxFDs)
	case s.SampleTimeout <= 0:
		return fmt.Errorf("--sample-timeout: %s is not above 0", s.SampleTimeout)
	}
	return nil
}

// Main runs an entry and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	var s Settings
	d := starter.Description{Name: "entry", Text: manual}
	return starter.Main(d, &s, &s.Common, arguments, stdout, stderr, func() error { return run(s) })
}

const (
	// bodyLimit is the largest request body in bytes. The document in force can
	// set a lower limit.
	bodyLimit = 5 << 20
	// peerBodyLimit is small because requests to the peer listener have no body.
	peerBodyLimit = 1 << 10
)

func run(s Settings) error {
	e, err := encoder.New()
	if err != nil {
		return err
	}
	listeners, err := listenAll(s.Listen, s.PeerListen, s.OperatorListen)
	if err != nil {
		return err
	}
	r := recorder.New()
	r.PublishExpvar("lycheeladder")
	c := newCoordinator(s, r)
	memory := newMemoryLimits(clockwork.NewRealClock(), s, r)
	operators, err := operatorApp(s, c, memory.bounds)
	if err != nil {
		return err
	}
	shutdown, release := starter.NotifyShutdown()
	defer release()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() { c.Run(ctx) })
	memory.run(ctx, &tasks)
	peers := peerApp(ctx, c, transporter.New(e), r)
	tasks.Go(func() { serve(ctx, "peers", peers, listeners[1], 0) })
	tasks.Go(func() { serve(ctx, "operators", operators, memory.operators.Listen(listeners[2]), time.Second) })
	klog.InfoS("entry started", "entry", s.Name, "zone", s.Zone, "listen", listeners[0].Addr().String())
	serveCallers(shutdown, s, c, memory.bounds, memory.callers.Listen(listeners[0]))
	cancel()
	tasks.Wait()
	klog.InfoS("entry stopped", "entry", s.Name)
	return nil
}

// listenAll opens a listener for each address, in the order given.
func listenAll(addresses ...starter.Address) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		l, err := server.Listen(string(address))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// serve runs until ctx ends, then waits up to grace for requests in progress.
func serve(ctx context.Context, name string, app *fiber.App, l net.Listener, grace time.Duration) {
	if err := server.Serve(ctx, app, l, grace); err != nil {
		klog.ErrorS(err, "listener failed", "listener", name)
	}
}

func newCoordinator(s Settings, r *recorder.Recorder) *coordinator.Coordinator {
	options := coordinator.Options{
		Dispatch: dispatcher.DefaultOptions(), Heartbeats: s.Options(),
		Policy: router.LeastExpectedWait{}, KeyMaxAge: s.KeyMaxAge, SampleTimeout: s.SampleTimeout,
		LogRetention: s.LogRetention,
	}
	options.Dispatch.Entry = identifier.EntryName(s.Name)
	options.Dispatch.Zone = identifier.ZoneName(s.Zone)
	options.Dispatch.Incarnation = identifier.NewIncarnation()
	seed := uint64(time.Now().UnixNano())
	options.Peers = accepter.NewHTTPPeers(newPeerAddresses(s), router.NewRandom(seed))
	return coordinator.New(clockwork.NewRealClock(), appender.NewHTTPLog(string(s.Log)), router.NewRandom(seed), r, options)
}

// operatorApp combines the operators' HTTP interface and the console, which share
// one listener.
func operatorApp(s Settings, c *coordinator.Coordinator, bounds server.Bounds) (*fiber.App, error) {
	history := historian.New(appender.NewHTTPLog(string(s.Log)), c.Follower())
	p := proposer.New(c.Follower(), history)
	app := publisher.New(c, p, history, bounds)
	pages, err := console.New(clockwork.NewRealClock(), c, p, history)
	if err != nil {
		return nil, err
	}
	pages.Mount(app)
	return app, nil
}
