package transporter

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/faker/listener"
	"github.com/lycheeladder/lycheeladder/ladder/faker/spoiler"
)

// acceptanceSuffix is appended to a client's key before it is hashed (RFC 6455, 4.2.2).
const acceptanceSuffix = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// dialTo dials a peer that sends the response that respond makes of the acceptance of the handshake.
func dialTo(t *testing.T, respond func(accepted string) string) error {
	t.Helper()
	e, err := encoder.New()
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Listen(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		hash := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + acceptanceSuffix))
		accepted := fmt.Sprintf("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: %s\r\n\r\n", base64.StdEncoding.EncodeToString(hash[:]))
		_, _ = io.WriteString(c, respond(accepted)) // only what the client makes of it counts
	})
	link, err := New(e).Dial(t.Context(), address)
	if err == nil {
		link.Close()
	}
	return err
}

// Guards against a link that is opened though the response to its handshake has a line that is no
// field, or another status.
func TestDial_MalformedHandshake(t *testing.T) {
	if err := dialTo(t, func(accepted string) string { return accepted }); err != nil {
		t.Errorf("well-formed: %v", err)
	}
	for what := range spoiler.Spoil("HTTP/1.1 101 Switching Protocols\r\n\r\n").Heads {
		if err := dialTo(t, func(accepted string) string { return spoiler.Spoil(accepted).Heads[what] }); err == nil {
			t.Errorf("%s: the link is open", what)
		}
	}
	for _, status := range []string{"000", "100", "200", "204", "999"} {
		if err := dialTo(t, func(accepted string) string { return strings.Replace(accepted, "101", status, 1) }); err == nil {
			t.Errorf("status %s: the link is open", status)
		}
	}
}

// Guards against a link that is opened by a response which is cut. The request of a handshake is small,
// so that its write doesn't fail.
func TestDial_TornHandshake(t *testing.T) {
	for _, cut := range []int{1, 2, 3, 20, 60} {
		if err := dialTo(t, func(accepted string) string { return accepted[:len(accepted)-cut] }); err == nil {
			t.Errorf("without its last %d bytes: the link is open", cut)
		}
	}
	if err := dialTo(t, func(string) string { return "HTTP/1.1 200 OK\r\n\r\npart" }); err == nil {
		t.Error("a part of another response: the link is open")
	}
}

// Guards against memory that the response to a handshake without an end fills.
func TestDial_BytesWithoutEnd(t *testing.T) {
	const maxWrittenBytes = 16 << 20
	for place, c := range map[string]struct{ beginning, part string }{
		"status line": {"HTTP/1.1 101 ", "x"}, "header lines": {"HTTP/1.1 101 Switching Protocols\r\n", "X-More: and more\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(place, func(t *testing.T) {
			e, err := encoder.New()
			if err != nil {
				t.Fatal(err)
			}
			server := listener.NewEndless(t, c.beginning, c.part)
			server.EndsInTime(t, maxWrittenBytes, func(ctx context.Context) error {
				_, err := New(e).Dial(ctx, server.Address)
				return err
			})
		})
	}
}
