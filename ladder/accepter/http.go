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
	// StatePath is the path on the peer listener at which an entry serves the
	// state in force as a checkpoint.
	StatePath = "/v1/state"
	// maxPeersQueried is the number of peers queried at once.
	maxPeersQueried = 3
	// peerQueryTimeout limits the wait for their responses.
	peerQueryTimeout = 3 * time.Second
)

// AddressLister lists the addresses (IP:port) of the peer listeners of the
// other entries. The address of this entry may be included: it has no state to
// return when it queries its peers.
type AddressLister interface {
	Addresses(ctx context.Context) ([]string, error)
}

// HTTPPeers queries peers over HTTP.
type HTTPPeers struct {
	addresses AddressLister
	random    Random
}

// NewHTTPPeers returns the peers at addresses. random selects the peers to
// query; State must not be called concurrently.
func NewHTTPPeers(addresses AddressLister, random Random) *HTTPPeers {
	return &HTTPPeers{addresses: addresses, random: random}
}

// State implements Peers.
func (h *HTTPPeers) State(ctx context.Context) (s State, err error) {
	defer annotator.Annotate(&err, "query peers")
	addresses, err := h.addresses.Addresses(ctx)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	states := make(chan State, maxPeersQueried)
	var tasks conc.WaitGroup
	for _, address := range h.pickAddresses(addresses) {
		tasks.Go(func() {
			if s, err := fetchState(ctx, address); err == nil {
				states <- s
			}
		})
	}
	tasks.Wait()
	close(states)
	for state := range states {
		if state.NextOffset > s.NextOffset {
			s = state
		}
	}
	if s.Document == nil {
		return s, errors.Errorf("no queried peer returned a state (%d known)", len(addresses))
	}
	return s, nil
}

// pickAddresses returns up to maxPeersQueried consecutive addresses, beginning
// at a random one.
func (h *HTTPPeers) pickAddresses(addresses []string) []string {
	if len(addresses) <= maxPeersQueried {
		return addresses
	}
	picked := make([]string, 0, maxPeersQueried)
	first := h.random.Int64N(int64(len(addresses)))
	for n := range int64(maxPeersQueried) {
		picked = append(picked, addresses[(first+n)%int64(len(addresses))])
	}
	return picked
}

func fetchState(ctx context.Context, address string) (s State, err error) {
	defer annotator.Annotate(&err, "query peer %s", address)
	response, err := requester.New(address, "").Do(ctx, fasthttp.MethodGet, StatePath, nil)
	if err != nil {
		return s, err
	}
	if response.Status != fasthttp.StatusOK {
		return s, errors.Errorf("status %d", response.Status)
	}
	r, err := DecodeRecord(response.Body)
	if err != nil {
		return s, err
	}
	c, ok := r.(Checkpoint)
	if !ok {
		return s, errors.New("not a checkpoint record")
	}
	return c.decode()
}

// EncodedCheckpoint returns the state in force as an encoded checkpoint, or
// false if this reader does not know it.
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
