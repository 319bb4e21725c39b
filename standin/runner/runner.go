// Package runner implements the subcommands of standin, one per simulated system
// or test tool.
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

// subcommand is one subcommand. kong reads its exported fields as flags and
// arguments.
type subcommand interface {
	// run returns when its work is done or ctx ends.
	run(ctx context.Context, stdout io.Writer) error
}

// registration describes one subcommand.
type registration struct {
	name          string
	help          string
	newSubcommand func() subcommand
}

// registrations lists all subcommands.
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

// Main parses the arguments, runs the selected subcommand and returns the exit
// code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	settings := &struct{ starter.Common }{}
	subcommands := make(map[string]subcommand, len(registrations))
	options := make([]kong.Option, 0, len(registrations))
	for _, r := range registrations {
		command := r.newSubcommand()
		subcommands[r.name] = command
		options = append(options, kong.DynamicCommand(r.name, r.help, "", command))
	}
	description := starter.Description{
		Name: "standin", Text: "Stands in for the systems around lycheeladder, in tests and the demo.",
		Options: options,
	}
	parsed, code, ok := starter.Parse(description, settings, arguments, stdout, stderr)
	if !ok {
		return code
	}
	starter.SetUpLogs(settings.LogVerbosity)
	defer klog.Flush()
	stop, release := starter.NotifyShutdown()
	defer release()
	if err := subcommands[parsed.Selected().Name].run(stop.Graceful, stdout); err != nil {
		fmt.Fprintf(stderr, "standin: %s: %s\n", parsed.Selected().Name, err)
		return starter.ExitFailure
	}
	return starter.ExitOK
}

const (
	// bodyLimit bounds the body of a request to a stand-in, in bytes.
	bodyLimit = 16 << 20
	// shutdownTimeout is how long a stand-in waits at shutdown for requests in
	// progress.
	shutdownTimeout = 2 * time.Second
)

// serve runs app at address until ctx ends.
func serve(ctx context.Context, name string, address starter.Address, app *fiber.App) error {
	listener, err := server.Listen(string(address))
	if err != nil {
		return err
	}
	klog.InfoS("listening", "stand-in", name, "address", listener.Addr().String())
	return server.Serve(ctx, app, listener, shutdownTimeout)
}
