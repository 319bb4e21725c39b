package inspector

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/response/fieldchecker"
	"github.com/lycheeladder/lycheeladder/ladder/response/statuschecker"
)

const (
	// maxHeadBytes bounds the head of a response with those of all interim responses before it, and
	// a trailer section. The specified headers have a few hundred bytes.
	maxHeadBytes = 64 << 10
	// maxChunkLineBytes bounds the line before a chunk.
	maxChunkLineBytes = 4 << 10
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// maxChunkDigits bounds the digits of a chunk's length, so that it fits into 64 bits.
	maxChunkDigits = 15
)

// errFraming means that a response doesn't say without doubt where its parts end.
var errFraming = errors.New("framing of the response is malformed")

// state is the part of a response that comes next.
type state int

const (
	// stateNone: no response is awaited, or the last one has ended.
	stateNone state = iota
	stateStatusLine
	stateFields
	// stateBody is a body with a length.
	stateBody
	stateChunkLine
	stateChunkData
	// stateChunkEnd is the empty line behind the data of a chunk.
	stateChunkEnd
	stateTrailers
	// stateUntilClose is a body that ends with its connection.
	stateUntilClose
	// stateUpgraded is another protocol.
	stateUpgraded
)

// noLength means that a head names no length.
const noLength = -1

// parser follows a response through its parts.
type parser struct {
	state state
	// upgrades is set if the requests ask for a protocol switch.
	upgrades bool
	// headRequest is set if the request has the method HEAD, to which no body is sent.
	headRequest bool
	// line is the beginning of the current line.
	line []byte
	// remainingLines is how many more bytes the lines of the current part may have.
	remainingLines int

	// Of the current head:
	status int
	// oldProtocol is set for HTTP/1.0, which has no chunks.
	oldProtocol bool
	length      int64
	chunked     bool

	// remaining is how many bytes are left of a body or chunk.
	remaining int64
}

// begin awaits the response to a request.
func (p *parser) begin(method string) {
	*p = parser{state: stateStatusLine, upgrades: p.upgrades, headRequest: method == http.MethodHead, line: p.line[:0], remainingLines: maxHeadBytes}
}

// isIncomplete reports whether the end of the connection would truncate a response.
func (p *parser) isIncomplete() bool {
	switch p.state {
	case stateNone, stateUntilClose, stateUpgraded:
		return false
	case stateStatusLine:
		return p.remainingLines < maxHeadBytes
	default:
		return true
	}
}

// consume looks at the next bytes. It returns how many of them come before the first malformed line,
// which is all unless there is an error.
func (p *parser) consume(data []byte) (valid int, err error) {
	rest := data
	for len(rest) > 0 {
		switch p.state {
		case stateNone, stateUntilClose, stateUpgraded:
			// Bytes behind a response are for the client to see to.
			return len(data), nil
		case stateBody, stateChunkData:
			n := min(int64(len(rest)), p.remaining)
			rest = rest[n:]
			if p.remaining -= n; p.remaining == 0 {
				p.endData()
			}
		default:
			next, err := p.consumeLine(rest)
			if err != nil {
				return len(data) - len(rest), err
			}
			rest = next
		}
	}
	return len(data), nil
}

func (p *parser) endData() {
	if p.state == stateBody {
		p.state = stateNone
		return
	}
	p.expectLines(stateChunkEnd, maxChunkLineBytes)
}

// expectLines awaits lines that have at most maxBytes together.
func (p *parser) expectLines(next state, maxBytes int) { p.state, p.remainingLines = next, maxBytes }

// consumeLine looks at data up to the end of a line, and returns the bytes after it.
func (p *parser) consumeLine(data []byte) (rest []byte, err error) {
	part, rest, ended := bytes.Cut(data, []byte("\n"))
	if p.remainingLines -= len(data) - len(rest); p.remainingLines < 0 {
		return nil, errors.Wrap(errFraming, "lines are too long")
	}
	if !ended {
		p.line = append(p.line, part...)
		return nil, nil
	}
	line := part
	if len(p.line) > 0 {
		p.line = append(p.line, part...)
		line, p.line = p.line, p.line[:0]
	}
	line, found := bytes.CutSuffix(line, []byte("\r"))
	if !found {
		return nil, errors.Wrapf(fieldchecker.ErrInvalid, "line %.40q ends without CR", line)
	}
	return rest, p.endLine(line)
}

// endLine looks at a complete line, given without its line ending.
func (p *parser) endLine(line []byte) error {
	switch {
	case p.state == stateStatusLine:
		return p.endStatusLine(line)
	case p.state == stateFields && len(line) == 0:
		return p.endHead()
	case p.state == stateTrailers && len(line) == 0:
		p.state = stateNone
		return nil
	case p.state == stateFields || p.state == stateTrailers:
		return p.endField(line)
	case p.state == stateChunkLine:
		return p.endChunkLine(line)
	case len(line) > 0: // of stateChunkEnd
		return errors.Wrapf(errFraming, "bytes behind a chunk: %.40q", line)
	}
	p.expectLines(stateChunkLine, maxChunkLineBytes)
	return nil
}

// endStatusLine looks at a status line: the protocol, a status of three digits and a reason that may
// be left out.
func (p *parser) endStatusLine(line []byte) error {
	protocol, rest, _ := strings.Cut(string(line), " ")
	digits, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || len(digits) != statusDigits || protocol != "HTTP/1.1" && protocol != "HTTP/1.0" {
		return errors.Wrapf(statuschecker.ErrInvalid, "status line %.40q", line)
	}
	if err := fieldchecker.CheckText(reason); err != nil {
		return err
	}
	p.status, p.oldProtocol, p.length, p.chunked = int(status), protocol == "HTTP/1.0", noLength, false
	p.state = stateFields
	if statuschecker.IsInterim(p.status) || p.isSwitch() {
		return nil
	}
	return statuschecker.CheckFinal(p.status)
}

// isSwitch reports whether the head switches to another protocol, as it was asked to.
func (p *parser) isSwitch() bool { return p.upgrades && p.status == http.StatusSwitchingProtocols }

// endField looks at a field and heeds those that say where the body ends.
func (p *parser) endField(line []byte) error {
	field, err := fieldchecker.Parse(line)
	if err != nil {
		return err
	}
	isLength, isEncoding := isNamed(field, "Content-Length"), isNamed(field, "Transfer-Encoding")
	switch {
	case !isLength && !isEncoding:
		return nil
	case p.state == stateTrailers:
		return errors.Wrapf(errFraming, "%s behind the body", field.Name)
	case isLength:
		return p.setLength(string(field.Value))
	case p.chunked || p.oldProtocol || !strings.EqualFold(string(field.Value), "chunked"):
		return errors.Wrapf(errFraming, "transfer encoding %.40q", field.Value)
	}
	p.chunked = true
	return nil
}

func isNamed(f fieldchecker.Field, name string) bool {
	return len(f.Name) == len(name) && strings.EqualFold(string(f.Name), name)
}

func (p *parser) setLength(text string) error {
	length, err := strconv.ParseUint(text, 10, 63)
	if err != nil || p.length != noLength {
		return errors.Wrapf(errFraming, "length %.40q", text)
	}
	p.length = int64(length)
	return nil
}

// endHead decides what follows a head.
func (p *parser) endHead() error {
	isInterim, isSwitch := statuschecker.IsInterim(p.status), p.isSwitch()
	switch {
	case (isInterim || isSwitch) && (p.chunked || p.length != noLength):
		return errors.Wrapf(statuschecker.ErrInvalid, "status %03d with a body", p.status)
	case isInterim:
		p.state = stateStatusLine
	case isSwitch:
		p.state = stateUpgraded
	case p.headRequest || p.status == http.StatusNoContent || p.status == http.StatusNotModified:
		p.state = stateNone
	case p.chunked:
		p.expectLines(stateChunkLine, maxChunkLineBytes)
	case p.length == 0:
		p.state = stateNone
	case p.length != noLength:
		p.state, p.remaining = stateBody, p.length
	default:
		p.state = stateUntilClose
	}
	return nil
}

// endChunkLine looks at the line before a chunk: its length in hexadecimal digits, and extensions.
func (p *parser) endChunkLine(line []byte) error {
	digits, extensions, _ := strings.Cut(string(line), ";")
	if err := fieldchecker.CheckText(extensions); err != nil {
		return err
	}
	digits = strings.TrimRight(digits, " \t")
	length, err := strconv.ParseUint(digits, 16, 63)
	if err != nil || len(digits) > maxChunkDigits {
		return errors.Wrapf(errFraming, "chunk line %.40q", line)
	}
	if length == 0 {
		p.expectLines(stateTrailers, maxHeadBytes)
		return nil
	}
	p.state, p.remaining = stateChunkData, int64(length)
	return nil
}
