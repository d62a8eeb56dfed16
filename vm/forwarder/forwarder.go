// Package forwarder executes calls to plain services, or forwards them to the VM that issued their idempotency key.
package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/frame"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Method is the link method that forwards a call to the VM that issued its idempotency key.
	Method = "call"
	// IssueMethod is the link method that requests an idempotency key from a VM that is not draining.
	IssueMethod = "issue_key"
	// issueTimeout bounds the request for another VM's idempotency key.
	issueTimeout = time.Second
	// forwardTimeout bounds a forwarded call. It is longer than the executor's default attempt timeout of 1 min.
	forwardTimeout = 65 * time.Second
	// retryAfter is the Retry-After of refusals for an unknown outcome or a draining VM.
	retryAfter = 2 * time.Second
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

type keyIssuer interface {
	Parse(key, account string) (vm, incarnation string, err error)
	Issue(account string) (string, error)
}

type executor interface {
	Do(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error)
}

type sender interface {
	Send(ctx context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error)
}

// Forwarder executes calls without an idempotency key and forwards the others to the process that issued the key.
type Forwarder struct {
	// Self is this VM's id; Incarnation identifies this process among the processes of the VM.
	Self        string
	Incarnation string
	// Keys parses and issues idempotency keys.
	Keys keyIssuer
	// Executor executes the calls whose idempotency keys this process issued, each at most once.
	Executor executor
	// Sender sends calls without an idempotency key to their service.
	Sender sender
	// Caller calls other VMs over the link.
	Caller caller
	// FindVM returns the VM with the id, and false if it is not known.
	FindVM func(id string) (fuchsiaspoke.VM, bool)
	// Draining reports whether this VM is draining.
	Draining func() bool
	// AvailablePeers returns the other live VMs that are ready and not draining.
	AvailablePeers func() []fuchsiaspoke.VM
}

// Execute returns the call's reply.
//
// If the process that issued the idempotency key does not respond, the outcome is unknown: only that process can tell that the
// call did not run.
func (f *Forwarder) Execute(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	if call.IdempotencyKey == "" {
		return f.Sender.Send(ctx, call, nil)
	}
	vm, incarnation, err := f.Keys.Parse(call.IdempotencyKey, call.Account)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	if vm == f.Self {
		return f.executeLocally(ctx, call, incarnation)
	}
	issuer, ok := f.FindVM(vm)
	if !ok {
		return fuchsiaspoke.Reply{}, outcomeUnknown("the idempotency key was issued by a process of VM " + vm +
			", which alone knows the outcome of its call; the address of this VM is not known")
	}
	return f.forward(ctx, call, issuer)
}

// Serve executes a call that another VM forwarded to this one.
func (f *Forwarder) Serve(ctx context.Context, _ string, request frame.Frame, send func(any) error) error {
	var call fuchsiaspoke.Call
	if err := request.Decode(&call); err != nil {
		return err
	}
	vm, incarnation, err := f.Keys.Parse(call.IdempotencyKey, call.Account)
	if err != nil {
		return err
	}
	if vm != f.Self {
		return outcomeUnknown("VM " + f.Self + " did not issue the idempotency key")
	}
	reply, err := f.executeLocally(ctx, call, incarnation)
	if err != nil {
		return err
	}
	return send(reply)
}

// Issue returns a new idempotency key. While this VM drains it requests the key from another VM, since this process may have
// ended before the call that uses the key.
func (f *Forwarder) Issue(ctx context.Context, account string) (string, error) {
	if !f.Draining() {
		return f.Keys.Issue(account)
	}
	for _, vm := range f.AvailablePeers() {
		if key, err := f.requestKey(ctx, vm, account); err == nil && key != "" {
			return key, nil
		}
	}
	return "", drainingRefusal()
}

// ServeIssue issues an idempotency key for another VM that drains.
func (f *Forwarder) ServeIssue(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var account string
	if err := request.Decode(&account); err != nil {
		return err
	}
	if f.Draining() {
		return drainingRefusal()
	}
	key, err := f.Keys.Issue(account)
	if err != nil {
		return err
	}
	return send(key)
}

// requestKey requests an idempotency key from another VM.
func (f *Forwarder) requestKey(ctx context.Context, vm fuchsiaspoke.VM, account string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	var key string
	err := f.Caller.Call(ctx, vm, IssueMethod, account, func(body cbor.RawMessage) error {
		return cbor.Unmarshal(body, &key)
	})
	return key, err
}

// executeLocally executes a call whose idempotency key was issued by the given incarnation of this VM.
func (f *Forwarder) executeLocally(ctx context.Context, call fuchsiaspoke.Call, incarnation string) (fuchsiaspoke.Reply, error) {
	if incarnation != f.Incarnation {
		return fuchsiaspoke.Reply{}, outcomeUnknown("the idempotency key was issued by another process of VM " + f.Self +
			", which alone knows the outcome of its call")
	}
	return f.Executor.Do(ctx, call)
}

// forward sends the call to the VM that issued its idempotency key.
func (f *Forwarder) forward(ctx context.Context, call fuchsiaspoke.Call, issuer fuchsiaspoke.VM) (fuchsiaspoke.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var reply fuchsiaspoke.Reply
	received := false
	err := f.Caller.Call(ctx, issuer, Method, call, func(body cbor.RawMessage) error {
		received = true
		return cbor.Unmarshal(body, &reply)
	})
	if err == nil && received {
		return reply, nil
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return fuchsiaspoke.Reply{}, refusal
	}
	return fuchsiaspoke.Reply{}, outcomeUnknown("no reply was received from VM " + issuer.ID + ", which issued the idempotency key")
}

func outcomeUnknown(message string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeOutcomeUnknown, Message: message,
		Run: fuchsiaspoke.RunUnknown, Status: http.StatusBadGateway, RetryAfter: retryAfter,
	}
}

func drainingRefusal() error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeDraining, Message: "this VM is draining and no other VM issued an idempotency key",
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
	}
}
