// Package starter contains what all programs need to start and stop: settings,
// logging and signal handling.
package starter

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Version is set by the linker.
var Version = "dev"

// The exit codes of every program.
const (
	// ExitOK is the exit code after a normal end.
	ExitOK = 0
	// ExitFailure is the exit code after a runtime error.
	ExitFailure = 1
	// ExitUsage is the exit code after an invalid setting or argument.
	ExitUsage = 2
)

// Common contains the settings of every daemon.
type Common struct {
	LogVerbosity int              `help:"Log verbosity: 0 events, 1 details, 2 messages." default:"0" placeholder:"N"`
	Version      kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

// Validate checks the common settings.
func (c Common) Validate() error {
	if c.LogVerbosity < 0 || c.LogVerbosity > 9 {
		return errors.Errorf("--log-verbosity: %d is not in 0 to 9", c.LogVerbosity)
	}
	return nil
}

// Address is an IP address and a port.
type Address string

// UnmarshalText checks that the text has the form IP:port.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return errors.Errorf("%q is not IP:port", text)
	}
	*a = Address(text)
	return nil
}

// Description describes a program for --help.
type Description struct {
	Name string
	// Text is the introduction of the help text.
	Text string
	// Options are additional options of the parser.
	Options []kong.Option
}

// EnvironmentPrefix is the prefix of all environment variables.
const EnvironmentPrefix = "LYCHEELADDER"

// Parse reads the settings of a program from arguments and environment
// variables into settings. A variable is named LYCHEELADDER_ followed by the
// flag in capitals. If the program must exit, Parse returns the exit code and
// false.
func Parse(d Description, settings any, arguments []string, stdout, stderr io.Writer) (parsed *kong.Context, code int, ok bool) {
	exited := false
	options := append([]kong.Option{
		kong.Name(d.Name),
		kong.Description(d.Text),
		kong.DefaultEnvars(EnvironmentPrefix),
		kong.Vars{"version": d.Name + " " + Version},
		kong.Writers(stdout, stderr),
		kong.Exit(func(c int) { code, exited = c, true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}, d.Options...)
	parser, err := kong.New(settings, options...)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %s\n", d.Name, err)
		return nil, ExitUsage, false
	}
	parsed, err = parser.Parse(arguments)
	if exited {
		return nil, code, false
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: setting %s\n", d.Name, singleLine(err))
		return nil, ExitUsage, false
	}
	return parsed, ExitOK, true
}

func singleLine(err error) string {
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

// SetUpLogs sends logs to standard error, one event per line.
func SetUpLogs(verbosity int) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	_ = flags.Set("logtostderr", "true")
	_ = flags.Set("v", fmt.Sprint(verbosity))
}

// SetUpLogsTo sends logs to out, one event per line.
func SetUpLogsTo(out io.Writer, verbosity int) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	_ = flags.Set("one_output", "true")
	_ = flags.Set("v", fmt.Sprint(verbosity))
	klog.SetOutput(out)
}

// Shutdown tells a program when to stop.
type Shutdown struct {
	// Graceful ends at the first SIGTERM or SIGINT. The program then finishes
	// the work in progress.
	Graceful context.Context
	// Forced ends at the second signal. The program then sends a final
	// response to the remaining requests and exits. A third signal exits the
	// process immediately.
	Forced context.Context
}

// NotifyShutdown returns a Shutdown that is triggered by signals. Calling
// release ends both contexts.
func NotifyShutdown() (s Shutdown, release context.CancelFunc) {
	forced, stopForced := context.WithCancel(context.Background())
	graceful, stopGracefully := context.WithCancel(forced)
	signals := make(chan os.Signal, 3)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		klog.InfoS("stopping", "signal", (<-signals).String())
		stopGracefully()
		<-signals
		klog.InfoS("second signal, giving up what is left")
		stopForced()
		<-signals
		klog.InfoS("third signal, ending at once")
		klog.Flush()
		os.Exit(ExitFailure)
	}()
	return Shutdown{Graceful: graceful, Forced: forced}, stopForced
}

// Main parses the settings of a daemon, runs it and returns its exit code.
// common must point to the Common in settings.
func Main(d Description, settings any, common *Common, arguments []string, stdout, stderr io.Writer, run func() error) int {
	if _, code, ok := Parse(d, settings, arguments, stdout, stderr); !ok {
		return code
	}
	SetUpLogs(common.LogVerbosity)
	defer klog.Flush()
	if err := run(); err != nil {
		fmt.Fprintf(stderr, "%s: %s\n", d.Name, err)
		return ExitFailure
	}
	return ExitOK
}
