package statuschecker

import (
	"bytes"
	"net"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxStatusLineBytes bounds the part of a status line that is looked at. The protocol and the
// status have 12 bytes.
const maxStatusLineBytes = 64

// conn is a client's connection that carries one request after the other. It checks the status of
// each response before the client reads it.
type conn struct {
	net.Conn
	// awaitsFinal is set from a request until the status of its final response.
	awaitsFinal bool
	// line is the beginning of the current line of a head.
	line []byte
	// inFields is set after the status line of an interim response, until its empty line.
	inFields bool
	// err is returned by all reads after an invalid status.
	err error
}

// Wrap returns a connection whose reads return ErrInvalid from a response on whose status is
// invalid. The caller must not send a request before the response to the last one has ended.
func Wrap(c net.Conn) net.Conn { return &conn{Conn: c} }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.awaitsFinal, c.inFields, c.line = true, false, c.line[:0]
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.err = c.check(p[:n]); c.err != nil {
		return 0, c.err
	}
	return n, err
}

// check looks at the next bytes of a response.
func (c *conn) check(data []byte) error {
	for c.awaitsFinal && len(data) > 0 {
		part, rest, ended := bytes.Cut(data, []byte("\n"))
		c.line = append(c.line, part[:min(len(part), maxStatusLineBytes-len(c.line))]...)
		data = rest
		if !ended && len(c.line) < maxStatusLineBytes {
			return nil
		}
		line := strings.TrimSpace(string(c.line))
		if ended {
			c.line = c.line[:0]
		}
		switch {
		case c.inFields:
			c.inFields = line != "" || !ended
		case line != "":
			if err := c.checkLine(line); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkLine looks at a status line.
func (c *conn) checkLine(line string) error {
	_, rest, _ := strings.Cut(line, " ")
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(text)
	if err != nil {
		return errors.Wrapf(ErrInvalid, "status line %.40q", line)
	}
	if isInterim(status) {
		c.inFields = true
		return nil
	}
	c.awaitsFinal = false
	return CheckFinal(status)
}
