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

func (p *process) buildCallerAPI(ring keyring.Keyring) error {
	secret, err := ring.Secret("idempotency keys")
	if err != nil {
		return err
	}
	keys := &issuer.Issuer{VM: p.settings.VM.ID, Incarnation: p.incarnation, Secret: secret, Clock: p.timer.Now}
	p.executor = &executor.Executor{Keys: keys, Sender: p.balancer, Clock: p.timer.Now}
	p.forwarder = &forwarder.Forwarder{
		Self: p.settings.VM.ID, Incarnation: p.incarnation, Keys: keys, Executor: p.executor,
		Sender: p.balancer, Caller: p.dialer, FindVM: p.gossiper.Find, Draining: p.draining.Load, AvailablePeers: p.availablePeers,
	}
	p.admitter = &admitter.Admitter{
		Catalog: p.relayer.Catalog, TokenClient: p.tokenClient, Router: p.router, Executor: p.forwarder, Budget: &p.retryBudget,
		Record: p.record, ObserveWait: p.meter.Wait, ObserveReplay: p.meter.Duplicate,
	}
	p.listener = &listener.Listener{
		Admitter: p.admitter,
		Issuer:   p.forwarder,
		Account: func(keyHash string) (string, error) {
			return authenticator.Authenticator{}.Account(p.relayer.Catalog(), keyHash)
		},
		Models:         p.models,
		EntryVMs:       p.entryVMs,
		Ready:          p.ready,
		Draining:       p.draining.Load,
		ObserveRefusal: p.observeRefusal,
	}
	p.reporter = &reporter.Reporter{
		Status: p.status, Events: p.recorder.Events, Metrics: p.meter.Handler(), Ready: p.ready,
	}
	p.acceptor.Handle(forwarder.Method, p.forwarder.Serve)
	p.acceptor.Handle(forwarder.IssueMethod, p.forwarder.ServeIssue)
	return nil
}
