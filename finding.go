package fuchsiaspoke

// Severity says what follows from a finding if the configuration is sent as it is.
type Severity string

// The severities, from the gravest.
const (
	// SeverityError means that requests are refused, or that a part of the configuration has no effect.
	SeverityError Severity = "error"
	// SeverityWarning means that the configuration works, but hardly as intended.
	SeverityWarning Severity = "warning"
	// SeverityChange means that the version in force serves something that the new one does not.
	SeverityChange Severity = "change"
)

// FindingKind names the rule that a finding is about.
type FindingKind string

// Finding is one result of the check of a configuration.
type Finding struct {
	Severity Severity
	Kind     FindingKind
	// InForce reports that Path is one in the version in force, since the new one no longer holds the entry.
	InForce bool
	Path    ConfigurationPath
	Message string
	Remedy  string
}

// ConfigurationPath leads from the whole configuration to one value in it.
type ConfigurationPath []ConfigurationStep

// ConfigurationStep is one step of a path: a field, or an element of a list.
type ConfigurationStep struct {
	Part ConfigurationPart
	// Index is the position in a list; -1 where the step is the field itself.
	Index int
	// Name is the name of the element, if it has one.
	Name string
}

// ConfigurationPart is a field of the configuration.
type ConfigurationPart int

// The fields that findings are about.
const (
	PartVersion ConfigurationPart = iota
	PartRoutes
	PartHost
	PartPathPrefix
	PartTimeout
	PartAttempts
	PartTarget
	PartWeightedTargets
	PartRegions
	PartOpen
	PartServices
	PartEngine
	PartBatchSize
	PartCacheTokens
	PartAdapterSlots
	PartLoadRate
	PartModels
	PartName
	PartAccounts
	PartKeys
	PartRate
	PartBurst
	PartRequestLimits
	PartHeaderBytes
	PartBodyBytes
)

// ConfigurationFile is what a configuration's file holds beyond its Contract: all entries in the order of the file, with those whose name or
// key another entry repeats.
type ConfigurationFile struct {
	Routes   []ListedRoute
	Services []ListedService
	Accounts []ListedAccount
}

// ListedRoute is a route with what its targets do not tell.
type ListedRoute struct {
	ServiceRoute
	// Unweighted reports that the first target is named apart from the list of weighted ones.
	Unweighted bool
}

// ListedService is a service with its models in the order of the file.
type ListedService struct {
	Service
	Models []Model
}

// ListedAccount is a client account with its keys in the order of the file.
type ListedAccount struct {
	AccountContract
	Keys []string
}
