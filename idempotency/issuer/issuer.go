// Package issuer issues and checks the idempotency keys of calls that may run at most once.
package issuer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/timer"
	"github.com/pkg/errors"
)

const (
	version        = "fs1"
	macDomain      = "fuchsiaspoke idempotency key 1"
	nonceBytes     = 16
	minSecretBytes = 16
	maxKeyBytes    = 512
	maxNameBytes   = 128
	issuedBase     = 36
)

// The parts of a key, in their order.
const (
	partVersion = iota
	partVM
	partIncarnation
	partIssued
	partNonce
	partMAC
	partCount
)

// Issuer issues idempotency keys. A key names the VM and the incarnation of the only process that may send its call.
//
// The format of a key is fs1.<vm>.<incarnation>.<issued>.<nonce>.<mac>. The VM, the incarnation, the nonce and the MAC
// are base64url without padding; issued is the reading of Clock, in milliseconds and base 36. The MAC is HMAC-SHA256
// (RFC 2104) over the text before it and the client account. It is compared as text, so that each key has a single
// encoding.
//
// VM, Incarnation and Secret must be set; a zero Issuer issues no keys, since anyone could compute a MAC with an empty secret.
// Secret must be the same on all VMs that parse each other's keys. Incarnation must be unique among all processes ever
// started.
type Issuer struct {
	VM          string
	Incarnation string
	// Secret is the HMAC key, of at least 16 bytes.
	Secret []byte
	// Clock returns a monotonic time that includes the time of suspension; nil reads CLOCK_BOOTTIME.
	Clock func() time.Duration
}

// Issue returns a new key for the client account, or an error if a field of the issuer is invalid or no random bytes
// can be read.
func (i *Issuer) Issue(account string) (string, error) {
	if err := i.validate(); err != nil {
		return "", errors.Wrap(err, "issue idempotency key")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return "", errors.Wrap(err, "issue idempotency key: read nonce")
	}
	text := strings.Join([]string{
		version,
		encode([]byte(i.VM)),
		encode([]byte(i.Incarnation)),
		strconv.FormatInt(i.now().Milliseconds(), issuedBase),
		encode(nonce),
	}, ".")
	return text + "." + i.mac(text, account), nil
}

// Parse returns the VM and the incarnation that issued the key to the client account, or a *fuchsiaspoke.Refusal if the
// key was not issued to it.
func (i *Issuer) Parse(key, account string) (vm, incarnation string, err error) {
	parts, err := i.verify(key, account)
	if err != nil {
		return "", "", err
	}
	return decodeName(parts[partVM]), decodeName(parts[partIncarnation]), nil
}

// Age returns the time since this incarnation issued the key, or a *fuchsiaspoke.Refusal. The refusal is
// outcome_unknown for a key of another VM or incarnation, since only that process can know the outcome of the call.
func (i *Issuer) Age(key, account string) (time.Duration, error) {
	parts, err := i.verify(key, account)
	if err != nil {
		return 0, err
	}
	if decodeName(parts[partVM]) != i.VM || decodeName(parts[partIncarnation]) != i.Incarnation {
		return 0, &fuchsiaspoke.Refusal{
			Code:    fuchsiaspoke.CodeOutcomeUnknown,
			Message: "the idempotency key was issued by another process, which alone knows the outcome of its call",
			Run:     fuchsiaspoke.RunUnknown,
			Status:  http.StatusGatewayTimeout,
		}
	}
	issuedMillis, err := strconv.ParseInt(parts[partIssued], issuedBase, 64)
	if err != nil {
		return 0, notIssued()
	}
	return max(0, i.now()-time.Duration(issuedMillis)*time.Millisecond), nil
}

func (i *Issuer) verify(key, account string) ([]string, error) {
	if i.validate() != nil || len(key) > maxKeyBytes {
		return nil, notIssued()
	}
	macSeparator := strings.LastIndexByte(key, '.')
	if macSeparator < 0 {
		return nil, notIssued()
	}
	want := i.mac(key[:macSeparator], account)
	if !hmac.Equal([]byte(key[macSeparator+1:]), []byte(want)) {
		return nil, notIssued()
	}
	parts := strings.Split(key, ".")
	if len(parts) != partCount || parts[partVersion] != version {
		return nil, notIssued()
	}
	return parts, nil
}

func (i *Issuer) validate() error {
	if len(i.Secret) < minSecretBytes {
		return errors.Errorf("secret has %d bytes, fewer than %d", len(i.Secret), minSecretBytes)
	}
	if i.VM == "" || len(i.VM) > maxNameBytes {
		return errors.Errorf("VM id %q is empty or too long", i.VM)
	}
	if i.Incarnation == "" || len(i.Incarnation) > maxNameBytes {
		return errors.Errorf("incarnation %q is empty or too long", i.Incarnation)
	}
	return nil
}

func (i *Issuer) mac(text, account string) string {
	h := hmac.New(sha256.New, i.Secret)
	for _, part := range []string{macDomain, text, account} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return encode(h.Sum(nil))
}

func (i *Issuer) now() time.Duration {
	if i.Clock == nil {
		return timer.Boot()
	}
	return i.Clock()
}

func encode(b []byte) string {
	return base64.RawURLEncoding.EncodeToString(b)
}

// decodeName decodes a VM or incarnation part of a key whose MAC was verified.
func decodeName(part string) string {
	name, err := base64.RawURLEncoding.DecodeString(part)
	if err != nil {
		return ""
	}
	return string(name)
}

func notIssued() *fuchsiaspoke.Refusal {
	return &fuchsiaspoke.Refusal{
		Code:    fuchsiaspoke.CodeKeyNotIssued,
		Message: "the idempotency key was not issued to this client account",
		Run:     fuchsiaspoke.NotRun,
		Status:  http.StatusBadRequest,
	}
}
