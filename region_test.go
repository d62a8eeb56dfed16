package fuchsiaspoke_test

import (
	"reflect"
	"slices"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

type regions = []fuchsiaspoke.Region

// The lists of a route and of a client account apply together; lists without a common region allow nothing, which must not be taken for the
// missing list that allows any region.
func TestRegionListsApplyTogether(t *testing.T) {
	for _, c := range []struct {
		route, account, want regions
	}{
		{nil, nil, nil},
		{regions{}, regions{}, nil},
		{regions{"n"}, nil, regions{"n"}},
		{nil, regions{"s"}, regions{"s"}},
		{regions{"n", "s"}, regions{"s", "w"}, regions{"s"}},
		{regions{"n"}, regions{"s"}, regions{}},
	} {
		got := fuchsiaspoke.IntersectRegions(c.route, c.account)
		if !slices.Equal(got, c.want) || (got == nil) != (c.want == nil) {
			t.Errorf("%v and %v: %#v, want %#v", c.route, c.account, got, c.want)
		}
	}
	for _, c := range []struct {
		list   regions
		region fuchsiaspoke.Region
		want   bool
	}{{nil, "n", true}, {nil, "", true}, {regions{"n"}, "n", true}, {regions{"n"}, "s", false}, {regions{}, "n", false}, {regions{""}, "", false}} {
		if got := fuchsiaspoke.RegionAllowed(c.list, c.region); got != c.want {
			t.Errorf("%#v allows %q: %t, want %t", c.list, c.region, got, c.want)
		}
	}
}

// Messages between VMs of the users' platform may go to regions that a request may not reach. They carry no body and no part of a prompt:
// each field that could hold text or bytes is listed here with what it holds, and a new one must be looked at before it is added.
func TestMessagesBetweenVMsCarryNoBodies(t *testing.T) {
	const published, identity, delegated = "published entry", "id, name or address", "request of a VM that reaches no replica"
	known := map[string]string{
		// A request goes to a VM in an allowed region alone, see TestRequestIsDelegatedToAllowedRegionsAlone, and its response comes from there.
		"Delegation.Message": delegated, "Delegation.Request": delegated, "DelegatedPart.Head": delegated, "DelegatedPart.Body": delegated,
		"AdmissionProgress.Engine": identity, "AdmissionProgress.ID": identity,
		"AdmissionReply.Incarnation.ID":    identity,
		"AdmissionRequest.Account":         identity,
		"AdmissionRequest.Demand.Adapter":  identity,
		"AdmissionRequest.Demand.Model":    identity,
		"AdmissionRequest.Demand.Parts.ID": identity, "AdmissionRequest.Engine": identity, "AdmissionRequest.ID": identity,
		"LimitTokenReply.Granter":      identity,
		"PublicationRelay.ContractRaw": published,
		"RankQuery.Demand.Adapter":     identity, "RankQuery.Demand.Model": identity, "RankQuery.Demand.Parts.ID": identity,
		"RankQuery.Evacuated": identity, "RankQuery.Excluded": identity, "RankQuery.Failing": identity, "RankQuery.Regions": identity,
		"RankQuery.Account": identity, "VMState.Served.Costs.Account": identity, "VMState.Served.Costs.Service": identity,
		"RankQuery.Service": identity, "RankReply.Engines.Engine": identity, "RankReply.Engines.Owner": identity,
		"StreamQuery.Key": "hash", "StreamQuery.Service": identity, "StreamRecord.Key": "hash", "StreamRecord.Origin": identity,
		"StreamReply.OnlyVersion": identity, "StreamReply.Origin": identity,
		"VMState.Acks": identity, "VMState.AdmittedTokens": identity, "VMState.BucketLevels": identity, "VMState.DrainingReplicas.ID": identity,
		"VMState.Engines.Engine.ID": identity, "VMState.Engines.Loading.Name": identity, "VMState.Engines.Resident.Name": identity,
		"VMState.Incarnation": identity, "VMState.Brittle.Name": identity, "VMState.Peers": identity, "VMState.VM": identity,
		"PublicationRelay.Changes": published, "PublicationRelay.Replicas": published, "PublicationRelay.Versions": published,
		"PublicationRelay.Missing": published, "PublicationRelay.Evacuations": published, "PublicationRelay.EvacuationEnds": published,
	}
	isKnown := func(path string) bool {
		for prefix := path; prefix != ""; prefix = parent(prefix) {
			if known[prefix] != "" {
				return true
			}
		}
		return false
	}
	for _, message := range []any{
		fuchsiaspoke.AdmissionRequest{},
		fuchsiaspoke.AdmissionReply{},
		fuchsiaspoke.AdmissionProgress{},
		fuchsiaspoke.RankQuery{},
		fuchsiaspoke.RankReply{},
		fuchsiaspoke.PublicationQuery{},
		fuchsiaspoke.PublicationRelay{},
		fuchsiaspoke.LimitTokenRequest{},
		fuchsiaspoke.LimitTokenReply{},
		fuchsiaspoke.StreamRecord{},
		fuchsiaspoke.StreamQuery{},
		fuchsiaspoke.StreamReply{},
		fuchsiaspoke.VMState{},
		fuchsiaspoke.Delegation{},
		fuchsiaspoke.DelegatedPart{},
	} {
		typ := reflect.TypeOf(message)
		for _, path := range textFields(typ, typ.Name()) {
			if !isKnown(path) {
				t.Errorf("%s may hold text or bytes and is not listed: must it not hold a body or a part of a prompt?", path)
			}
		}
	}
}

// parent returns the path without its last element.
func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[:i]
		}
	}
	return ""
}

// textFields returns the paths of all fields that can hold text or bytes.
func textFields(typ reflect.Type, path string) []string {
	switch typ.Kind() {
	case reflect.String, reflect.Interface:
		return []string{path}
	case reflect.Slice, reflect.Array:
		if typ.Elem().Kind() == reflect.Uint8 {
			return []string{path}
		}
		return textFields(typ.Elem(), path)
	case reflect.Pointer:
		return textFields(typ.Elem(), path)
	case reflect.Map:
		return append(textFields(typ.Key(), path), textFields(typ.Elem(), path)...)
	case reflect.Struct:
		var out []string
		for i := range typ.NumField() {
			out = append(out, textFields(typ.Field(i).Type, path+"."+typ.Field(i).Name)...)
		}
		return out
	}
	return nil
}
