package fuchsiaspoke

// PromptEvidence is what a VM tells others of parts of prompts on which engines may crash, a part of it in each heartbeat. Parts and processes
// are named by hashes.
type PromptEvidence struct {
	_ struct{} `cbor:",toarray"`
	// Crashes are ends of processes of engines, Cleared parts that were there and with which a request began, and Quarantined those that are
	// not sent.
	Crashes     []CrashReport
	Cleared     []ClearedPart
	Quarantined []QuarantinedPart
}

// CrashReport is the end of a process of an engine.
type CrashReport struct {
	_       struct{} `cbor:",toarray"`
	Process uint64
	// AgeMs is the time in milliseconds since then.
	AgeMs uint32
	// Suspects are parts of requests that were there and had not begun to be answered.
	Suspects []SuspectPart
}

// SuspectPart is a part of a prompt that was at an engine as its process ended.
type SuspectPart struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	// Index is the part's place in the prompt.
	Index uint8
}

// ClearedPart is a part with which a request began to be answered.
type ClearedPart struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	// AgeMs is the time in milliseconds since then.
	AgeMs uint32
}

// QuarantinedPart is a part that is not sent to engines.
type QuarantinedPart struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	// AgeMs is the time in milliseconds since the quarantine began, LeftMs that until its end; Round counts the part's quarantines.
	AgeMs  uint32
	LeftMs uint32
	Round  uint8
}

// Report returns the evidence for a message in which none takes no space; nil if there is none.
func (e PromptEvidence) Report() *PromptEvidence {
	if len(e.Crashes)+len(e.Cleared)+len(e.Quarantined) == 0 {
		return nil
	}
	return &e
}
