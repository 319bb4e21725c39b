package forwarder

import "github.com/pkg/errors"

// NotAllowed means that the request has not run, never will, and is no longer allowed.
type NotAllowed struct{}

func (NotAllowed) outcome() {}

// errNotAllowed means that no attempt was made because the request is no longer allowed.
var errNotAllowed = errors.New("the request is no longer allowed")

func (r Request) stillAllowed() bool { return r.StillAllowed == nil || r.StillAllowed() }
