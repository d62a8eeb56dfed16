package runner

import (
	"slices"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"k8s.io/klog/v2"
)

// entries are the VMs that callers may use: the ones in the caller's availability zone first.
func (n *node) entries(zone fuchsiaspoke.Zone) []fuchsiaspoke.VM {
	var near, far []fuchsiaspoke.VM
	for _, peer := range n.gossiper.Live() {
		if peer.Draining || !peer.Ready {
			continue
		}
		if peer.VM.Zone == zone {
			near = append(near, peer.VM)
		} else {
			far = append(far, peer.VM)
		}
	}
	n.turn.Add(1)
	return append(n.rotate(near), n.rotate(far)...)
}

// rotate spreads callers over the VMs.
func (n *node) rotate(vms []fuchsiaspoke.VM) []fuchsiaspoke.VM {
	if len(vms) == 0 {
		return nil
	}
	at := int(n.turn.Load() % uint64(len(vms)))
	return append(slices.Clone(vms[at:]), vms[:at]...)
}

// models names the profiles that the key may call.
func (n *node) models(keyHash string) ([]string, error) {
	c := n.relayer.Catalog()
	account := ""
	if keyHash != "" {
		name, err := authenticator.Authenticator{}.Account(c, keyHash)
		if err != nil {
			return nil, err
		}
		account = name
	}
	var names []string
	for profile := range c.Profiles() {
		if profile.Service == "" && (profile.Open || profile.Allows(account)) {
			names = append(names, profile.Name)
		}
	}
	return names, nil
}

func (n *node) observe(refusal *fuchsiaspoke.Refusal) {
	n.meter.Refusal(refusal.Code, "")
	if refusal.Run == fuchsiaspoke.RunUnknown {
		n.meter.UnknownOutcome("")
	}
	klog.V(1).InfoS("Refused", "code", refusal.Code, "run", refusal.Run, "message", refusal.Message)
}

func (n *node) status() fuchsiaspoke.Status {
	c := n.relayer.Catalog()
	return fuchsiaspoke.Status{
		Self:       n.state(),
		Documents:  c.Revisions(),
		Refused:    c.Refused(),
		Warnings:   c.Warnings(),
		Peers:      n.gossiper.Live(),
		Accounts:   n.granter.States(),
		Violations: n.asserter.Violations("dispatcher"),
	}
}
