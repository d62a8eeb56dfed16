// Package forwarder takes a call to the one process that may carry it out.
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
	// Method names the call that passes a call to the VM that issued its idempotency key.
	Method = "call"
	// IssueMethod names the call that asks a VM that stays for an idempotency key.
	IssueMethod = "issue_key"
	// issueTimeout bounds the wait for another VM's idempotency key.
	issueTimeout = time.Second
	// forwardTimeout bounds the wait for another VM's answer.
	forwardTimeout = 65 * time.Second
	// comeBack is when a caller may ask again for an outcome that is unknown.
	comeBack = 2 * time.Second
)

type caller interface {
	Call(ctx context.Context, vm fuchsiaspoke.VM, method string, request any, receive func(cbor.RawMessage) error) error
}

type keys interface {
	Parse(key, account string) (vm, incarnation string, err error)
	Issue(account string) (string, error)
}

type executor interface {
	Do(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error)
}

type sender interface {
	Send(ctx context.Context, call fuchsiaspoke.Call, begun func() error) (fuchsiaspoke.Reply, error)
}

// Forwarder carries out idempotent calls itself and passes the others to the process that issued their key.
type Forwarder struct {
	// Self and Incarnation name this process.
	Self        string
	Incarnation string
	// Keys reads and issues idempotency keys.
	Keys keys
	// Executor carries out the calls whose keys this process issued.
	Executor executor
	// Sender carries out idempotent calls.
	Sender sender
	// Caller reaches the other VMs.
	Caller caller
	// Find returns the address of a VM.
	Find func(id string) (fuchsiaspoke.VM, bool)
	// Draining reports whether this process is on its way out.
	Draining func() bool
	// Staying returns the other VMs that are not on their way out.
	Staying func() []fuchsiaspoke.VM
}

// Execute returns the call's answer.
//
// Where the process that issued the idempotency key cannot be asked, the outcome is unknown: only that process may say not_run.
func (f *Forwarder) Execute(ctx context.Context, call fuchsiaspoke.Call) (fuchsiaspoke.Reply, error) {
	if call.IdempotencyKey == "" {
		return f.Sender.Send(ctx, call, nil)
	}
	vm, incarnation, err := f.Keys.Parse(call.IdempotencyKey, call.Account)
	if err != nil {
		return fuchsiaspoke.Reply{}, err
	}
	if vm == f.Self {
		return f.answer(ctx, call, incarnation)
	}
	home, ok := f.Find(vm)
	if !ok {
		return fuchsiaspoke.Reply{}, unknown("VM " + vm + ", which issued the idempotency key, is gone")
	}
	return f.pass(ctx, call, home)
}

// Serve answers another VM that passes a call here.
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
		return unknown("VM " + f.Self + " did not issue the idempotency key")
	}
	reply, err := f.answer(ctx, call, incarnation)
	if err != nil {
		return err
	}
	return send(reply)
}

// Issue returns a new idempotency key of a process that will be there for its call: another VM's while this one drains.
func (f *Forwarder) Issue(ctx context.Context, account string) (string, error) {
	if !f.Draining() {
		return f.Keys.Issue(account)
	}
	for _, vm := range f.Staying() {
		if key, err := f.askKey(ctx, vm, account); err == nil && key != "" {
			return key, nil
		}
	}
	return "", draining()
}

// ServeIssue answers another VM that asks for an idempotency key.
func (f *Forwarder) ServeIssue(_ context.Context, _ string, request frame.Frame, send func(any) error) error {
	var account string
	if err := request.Decode(&account); err != nil {
		return err
	}
	if f.Draining() {
		return draining()
	}
	key, err := f.Keys.Issue(account)
	if err != nil {
		return err
	}
	return send(key)
}

func (f *Forwarder) askKey(ctx context.Context, vm fuchsiaspoke.VM, account string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	var key string
	err := f.Caller.Call(ctx, vm, IssueMethod, account, func(body cbor.RawMessage) error {
		return cbor.Unmarshal(body, &key)
	})
	return key, err
}

// answer carries out a call whose key the incarnation of this VM issued.
func (f *Forwarder) answer(ctx context.Context, call fuchsiaspoke.Call, incarnation string) (fuchsiaspoke.Reply, error) {
	if incarnation != f.Incarnation {
		return fuchsiaspoke.Reply{}, unknown("the process of VM " + f.Self + " that issued the idempotency key is gone")
	}
	return f.Executor.Do(ctx, call)
}

func (f *Forwarder) pass(ctx context.Context, call fuchsiaspoke.Call, home fuchsiaspoke.VM) (fuchsiaspoke.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var reply fuchsiaspoke.Reply
	whole := false
	err := f.Caller.Call(ctx, home, Method, call, func(body cbor.RawMessage) error {
		whole = true
		return cbor.Unmarshal(body, &reply)
	})
	if err == nil && whole {
		return reply, nil
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return fuchsiaspoke.Reply{}, refusal
	}
	return fuchsiaspoke.Reply{}, unknown("VM " + home.ID + ", which issued the idempotency key, did not answer")
}

func unknown(message string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeOutcomeUnknown, Message: message,
		Run: fuchsiaspoke.RunUnknown, Status: http.StatusBadGateway, RetryAfter: comeBack,
	}
}

func draining() error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeDraining, Message: "no VM that stays can be reached for an idempotency key",
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
	}
}
