// Package starter starts and stops a program: settings, logs, signals.
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
	// ExitOK is a wanted end.
	ExitOK = 0
	// ExitFailure is an end by a fault.
	ExitFailure = 1
	// ExitUsage is a wrong setting or argument.
	ExitUsage = 2
)

// Common are the settings that every daemon has.
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

// Address is an IP number and a port.
type Address string

// UnmarshalText checks that the address is IP:port.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return errors.Errorf("%q is not IP:port", text)
	}
	*a = Address(text)
	return nil
}

// Description is what --help says of a program.
type Description struct {
	Name string
	// Text is the manual's first part.
	Text string
	// Options are added to the parser's own.
	Options []kong.Option
}

// EnvironmentPrefix begins the name of each environment variable.
const EnvironmentPrefix = "LYCHEELADDER"

// Parse reads the settings of a program from arguments and environment
// variables (LYCHEELADDER_ and the flag in capitals) into settings. It returns
// the exit code and false where the program must not go on.
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
		fmt.Fprintf(stderr, "%s: setting %s\n", d.Name, oneLine(err))
		return nil, ExitUsage, false
	}
	return parsed, ExitOK, true
}

func oneLine(err error) string {
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

// SetUpLogs sends logs to standard error, one event a line.
func SetUpLogs(verbosity int) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	_ = flags.Set("logtostderr", "true")
	_ = flags.Set("v", fmt.Sprint(verbosity))
}

// SetUpLogsTo sends logs to out, one event a line.
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

// Shutdown tells a program when and how to end.
type Shutdown struct {
	// Graceful ends at the first SIGTERM or SIGINT: finish what there is.
	Graceful context.Context
	// Forced ends at the second: give a final answer to what is left, and
	// end. A third signal ends the process at once.
	Forced context.Context
}

// NotifyShutdown returns the program's Stop. Calling release ends both contexts.
func NotifyShutdown() (s Shutdown, release context.CancelFunc) {
	hurried, hurry := context.WithCancel(context.Background())
	begun, begin := context.WithCancel(hurried)
	signals := make(chan os.Signal, 3)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		klog.InfoS("stopping", "signal", (<-signals).String())
		begin()
		<-signals
		klog.InfoS("second signal, giving up what is left")
		hurry()
		<-signals
		klog.InfoS("third signal, ending at once")
		klog.Flush()
		os.Exit(ExitFailure)
	}()
	return Shutdown{Graceful: begun, Forced: hurried}, hurry
}

// Main parses the settings of a daemon, runs it and returns its exit code.
// common are the settings' own Common.
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
