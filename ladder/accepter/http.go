package accepter

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/requester"
)

const (
	// StatePath is where an entry's peer listener tells what is in force, as a
	// carry-forward record.
	StatePath = "/v1/state"
	// peersAsked is how many peers are asked at once.
	peersAsked = 3
	// peerTimeout bounds the wait for their answers.
	peerTimeout = 3 * time.Second
)

// AddressLister lists the peer listeners of the other entries, IP:port. This
// entry's own may be among them: it has nothing to tell when it asks.
type AddressLister interface {
	Addresses(ctx context.Context) ([]string, error)
}

// HTTPPeers asks peers over HTTP.
type HTTPPeers struct {
	addresses AddressLister
	random    Random
}

// NewHTTPPeers returns the peers at addresses. random picks whom to ask; the
// calls of State are serial.
func NewHTTPPeers(addresses AddressLister, random Random) *HTTPPeers {
	return &HTTPPeers{addresses: addresses, random: random}
}

// State implements Peers.
func (h *HTTPPeers) State(ctx context.Context) (s State, err error) {
	defer annotator.Annotate(&err, "ask peers")
	addresses, err := h.addresses.Addresses(ctx)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers := make(chan State, peersAsked)
	var tasks conc.WaitGroup
	for _, address := range h.pick(addresses) {
		tasks.Go(func() {
			if s, err := stateOf(ctx, address); err == nil {
				answers <- s
			}
		})
	}
	tasks.Wait()
	close(answers)
	for answer := range answers {
		if answer.NextOffset > s.NextOffset {
			s = answer
		}
	}
	if s.Document == nil {
		return s, errors.Errorf("none of %d knows", len(addresses))
	}
	return s, nil
}

// pick returns a few of the addresses, others at each call.
func (h *HTTPPeers) pick(addresses []string) []string {
	if len(addresses) <= peersAsked {
		return addresses
	}
	picked := make([]string, 0, peersAsked)
	first := h.random.Int64N(int64(len(addresses)))
	for n := range int64(peersAsked) {
		picked = append(picked, addresses[(first+n)%int64(len(addresses))])
	}
	return picked
}

func stateOf(ctx context.Context, address string) (s State, err error) {
	defer annotator.Annotate(&err, "ask %s", address)
	a, err := requester.New(address, "").Do(ctx, fasthttp.MethodGet, StatePath, nil)
	if err != nil {
		return s, err
	}
	if a.Status != fasthttp.StatusOK {
		return s, errors.Errorf("status %d", a.Status)
	}
	r, err := DecodeRecord(a.Body)
	if err != nil {
		return s, err
	}
	c, ok := r.(Checkpoint)
	if !ok {
		return s, errors.New("not a carry-forward record")
	}
	return c.state()
}

// EncodedCheckpoint returns the state in force as a peer gets it, a carry-forward
// record; false if this reader doesn't know it.
func (f *Follower) EncodedCheckpoint() ([]byte, bool) {
	s, inForce := f.State()
	if !inForce || s.Document == nil {
		return nil, false
	}
	c, err := s.Checkpoint()
	if err != nil {
		return nil, false
	}
	data, err := EncodeRecord(c)
	return data, err == nil
}
