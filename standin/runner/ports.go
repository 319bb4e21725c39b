package runner

import (
	"context"
	"fmt"
	"io"
	"net"
)

// ports prints ports that the system has given out as free. They are all held
// until the last is known, so that none comes twice.
type ports struct {
	Count int `arg:"" help:"How many."`
}

func (p *ports) run(_ context.Context, stdout io.Writer) error {
	for range p.Count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		fmt.Fprintln(stdout, l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
