package fuchsiaspoke

// CrashEvidence is what a VM tells others of traits of requests on which replicas may crash, a part of it in each heartbeat. Traits and
// processes are named by hashes.
type CrashEvidence struct {
	_ struct{} `cbor:",toarray"`
	// Crashes are ends of processes of replicas, Cleared traits that were there and with which a request was answered, and Quarantined
	// those that are not sent.
	Crashes     []CrashReport
	Cleared     []ClearedTrait
	Quarantined []QuarantinedTrait
}

// CrashReport is the end of a process of a replica.
type CrashReport struct {
	_       struct{} `cbor:",toarray"`
	Process uint64
	// AgeMs is the time in milliseconds since then.
	AgeMs uint32
	// Suspects are traits of requests that were there and had not begun to be answered.
	Suspects []SuspectTrait
}

// SuspectTrait is a trait of a request that was at a replica as its process ended.
type SuspectTrait struct {
	_    struct{} `cbor:",toarray"`
	Hash uint64
	// Index is the place in the prompt of a part.
	Index uint8
}

// ClearedTrait is a trait with which a request began to be answered.
type ClearedTrait struct {
	_    struct{} `cbor:",toarray"`
	Hash uint64
	// AgeMs is the time in milliseconds since then.
	AgeMs uint32
}

// QuarantinedTrait is a trait of requests that are not sent.
type QuarantinedTrait struct {
	_    struct{} `cbor:",toarray"`
	Hash uint64
	// AgeMs is the time in milliseconds since the quarantine began, LeftMs that until its end; Round counts the trait's quarantines.
	AgeMs  uint32
	LeftMs uint32
	Round  uint8
}

// Report returns the evidence for a message in which none takes no space; nil if there is none.
func (e CrashEvidence) Report() *CrashEvidence {
	if len(e.Crashes)+len(e.Cleared)+len(e.Quarantined) == 0 {
		return nil
	}
	return &e
}
