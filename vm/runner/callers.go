package runner

import (
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/executor"
	"github.com/fuchsiaspoke/fuchsiaspoke/idempotency/issuer"
	"github.com/fuchsiaspoke/fuchsiaspoke/link/keyring"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/admitter"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/forwarder"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/listener"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/reporter"
)

func (n *node) buildCallers(ring keyring.Keyring) error {
	secret, err := ring.Secret("idempotency keys")
	if err != nil {
		return err
	}
	keys := &issuer.Issuer{VM: n.settings.VM.ID, Incarnation: n.incarnation, Secret: secret, Clock: n.timer.Now}
	n.executor = &executor.Executor{Keys: keys, Sender: n.balancer, Clock: n.timer.Now}
	n.forwarder = &forwarder.Forwarder{
		Self: n.settings.VM.ID, Incarnation: n.incarnation, Keys: keys, Executor: n.executor,
		Sender: n.balancer, Caller: n.dialer, Find: n.gossiper.Find, Draining: n.draining.Load, Staying: n.staying,
	}
	n.admitter = &admitter.Admitter{
		Catalog: n.relayer.Catalog, Spender: n.spender, Router: n.router, Executor: n.forwarder, Budget: &n.budget, Record: n.record,
		Waited: n.meter.Wait, Replayed: n.meter.Duplicate,
	}
	n.listener = &listener.Listener{
		Admitter: n.admitter,
		Issuer:   n.forwarder,
		Account: func(keyHash string) (string, error) {
			return authenticator.Authenticator{}.Account(n.relayer.Catalog(), keyHash)
		},
		Models:   n.models,
		Entries:  n.entries,
		Ready:    n.ready,
		Draining: n.draining.Load,
		Observe:  n.observe,
	}
	n.reporter = &reporter.Reporter{
		Status: n.status, Events: n.recorder.Events, Metrics: n.meter.Handler(), Ready: n.ready,
	}
	n.acceptor.Handle(forwarder.Method, n.forwarder.Serve)
	n.acceptor.Handle(forwarder.IssueMethod, n.forwarder.ServeIssue)
	return nil
}
