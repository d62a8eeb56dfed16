package runner

import (
	"slices"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"k8s.io/klog/v2"
)

// entryVMs returns the live VMs that are ready and not draining, those in the caller's availability zone first.
func (p *process) entryVMs(zone fuchsiaspoke.Zone) []fuchsiaspoke.VM {
	var sameZone, otherZones []fuchsiaspoke.VM
	for _, peer := range p.gossiper.Live() {
		if peer.Draining || !peer.Ready {
			continue
		}
		if peer.VM.Zone == zone {
			sameZone = append(sameZone, peer.VM)
		} else {
			otherZones = append(otherZones, peer.VM)
		}
	}
	p.rotation.Add(1)
	return append(p.rotate(sameZone), p.rotate(otherZones)...)
}

// rotate returns the VMs starting at a different one on each call of entryVMs, which spreads callers over them.
func (p *process) rotate(vms []fuchsiaspoke.VM) []fuchsiaspoke.VM {
	if len(vms) == 0 {
		return nil
	}
	offset := int(p.rotation.Load() % uint64(len(vms)))
	return append(slices.Clone(vms[offset:]), vms[:offset]...)
}

// models returns the names of the model profiles that the key may use, or of the open ones if keyHash is empty.
func (p *process) models(keyHash string) ([]string, error) {
	c := p.relayer.Catalog()
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

func (p *process) observeRefusal(refusal *fuchsiaspoke.Refusal) {
	p.meter.Refusal(refusal.Code, "")
	if refusal.Run == fuchsiaspoke.RunUnknown {
		p.meter.UnknownOutcome("")
	}
	klog.V(1).InfoS("Refused", "code", refusal.Code, "run", refusal.Run, "message", refusal.Message)
}

func (p *process) status() fuchsiaspoke.Status {
	c := p.relayer.Catalog()
	return fuchsiaspoke.Status{
		Self:       p.peerState(),
		Documents:  c.Revisions(),
		Refused:    c.Refused(),
		Warnings:   c.Warnings(),
		Peers:      p.gossiper.Live(),
		Accounts:   p.tokenServer.States(),
		Violations: p.asserter.Violations("dispatcher"),
	}
}
