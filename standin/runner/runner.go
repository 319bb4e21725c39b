// Package runner has one file per stand-in and a table of them all.
package runner

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// subcommand is one subcommand. Its fields are its settings.
type subcommand interface {
	// run works until ctx ends.
	run(ctx context.Context, stdout io.Writer) error
}

// registration is a line of the table.
type registration struct {
	name string
	help string
	newSubcommand func() subcommand
}

// registrations lists every stand-in once.
var registrations = []registration{
	{"log", "The platform's append-only log service.", func() subcommand { return &logService{} }},
	{"engine", "A model engine.", func() subcommand { return &engine{} }},
	{"service", "A plain service.", func() subcommand { return &plainService{} }},
	{"weights", "The rate-limited weight store.", func() subcommand { return &weightStore{} }},
	{"hosts", "The lagging list of hosts.", func() subcommand { return &hostList{} }},
	{"trainer", "A trainer: takes steps of samples and announces weights.", func() subcommand { return &trainer{} }},
	{"caller", "Live callers, for some seconds.", func() subcommand { return &liveCaller{} }},
	{"summary", "Print reports as one table.", func() subcommand { return &summary{} }},
	{"scorer", "A service that scores samples.", func() subcommand { return &scorer{} }},
	{"ports", "Print free TCP ports of 127.0.0.1, one a line.", func() subcommand { return &ports{} }},
}

// Main parses the arguments and runs the chosen stand-in.
func Main(arguments []string, stdout, stderr io.Writer) int {
	settings := &struct{ starter.Common }{}
	chosen := make(map[string]subcommand, len(registrations))
	commands := make([]kong.Option, 0, len(registrations))
	for _, e := range registrations {
		v := e.newSubcommand()
		chosen[e.name] = v
		commands = append(commands, kong.DynamicCommand(e.name, e.help, "", v))
	}
	d := starter.Description{
		Name: "standin", Text: "Stands in for the systems around lycheeladder, in tests and the demo.",
		Options: commands,
	}
	parsed, code, ok := starter.Parse(d, settings, arguments, stdout, stderr)
	if !ok {
		return code
	}
	starter.SetUpLogs(settings.LogVerbosity)
	defer klog.Flush()
	stop, release := starter.NotifyShutdown()
	defer release()
	if err := chosen[parsed.Selected().Name].run(stop.Graceful, stdout); err != nil {
		fmt.Fprintf(stderr, "standin: %s: %s\n", parsed.Selected().Name, err)
		return starter.ExitFailure
	}
	return starter.ExitOK
}

const (
	// bodyLimit bounds the requests to a stand-in.
	bodyLimit = 16 << 20
	// shutdownTimeout is how long a stand-in finishes requests.
	shutdownTimeout = 2 * time.Second
)

// serve runs app at address until ctx ends.
func serve(ctx context.Context, name string, address starter.Address, app *fiber.App) error {
	l, err := server.Listen(string(address))
	if err != nil {
		return err
	}
	klog.InfoS("listening", "stand-in", name, "address", l.Addr().String())
	return server.Serve(ctx, app, l, shutdownTimeout)
}
