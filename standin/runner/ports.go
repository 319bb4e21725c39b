package runner

import (
	"context"
	"fmt"
	"io"
	"net"
)

// ports prints free TCP ports. It keeps all of them open until it ends, so that
// the operating system gives out none twice.
type ports struct {
	Count int `arg:"" help:"How many."`
}

func (p *ports) run(_ context.Context, stdout io.Writer) error {
	for range p.Count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer listener.Close()
		fmt.Fprintln(stdout, listener.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
