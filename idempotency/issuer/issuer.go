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
	millisBase     = 36
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

// Issuer issues idempotency keys that name the VM and the incarnation which alone may send the call.
//
// A key reads fs1.<vm>.<incarnation>.<issued>.<nonce>.<mac>. The VM, the incarnation, the nonce and the MAC are base64url
// without padding; issued is the time since the incarnation started, in milliseconds and base 36. The MAC is HMAC-SHA256
// (RFC 2104) over the text before it and the client account. It is compared as text, so that one key has one spelling.
//
// VM, Incarnation and Secret must be set: a zero Issuer refuses to issue, since a MAC without a secret proves nothing.
// Secret must be the same on all VMs that parse each other's keys. Incarnation must differ for every process ever started.
type Issuer struct {
	VM          string
	Incarnation string
	// Secret has at least 16 bytes.
	Secret []byte
	// Clock is the time since the incarnation started and goes on while suspended; nil reads CLOCK_BOOTTIME.
	Clock func() time.Duration
}

// Issue returns a new key for the client account, or an error when the issuer is not set up or no randomness can be had.
func (i *Issuer) Issue(account string) (string, error) {
	if err := i.check(); err != nil {
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
		strconv.FormatInt(i.now().Milliseconds(), millisBase),
		encode(nonce),
	}, ".")
	return text + "." + i.mac(text, account), nil
}

// Parse returns the VM and the incarnation that issued the key to the client account, or a *fuchsiaspoke.Refusal.
func (i *Issuer) Parse(key, account string) (vm, incarnation string, err error) {
	parts, err := i.verify(key, account)
	if err != nil {
		return "", "", err
	}
	return decodeName(parts[partVM]), decodeName(parts[partIncarnation]), nil
}

// Age returns the time since this incarnation issued the key, or a *fuchsiaspoke.Refusal: outcome_unknown for a key
// that another incarnation issued, since only that one could know what became of the call.
func (i *Issuer) Age(key, account string) (time.Duration, error) {
	parts, err := i.verify(key, account)
	if err != nil {
		return 0, err
	}
	if decodeName(parts[partVM]) != i.VM || decodeName(parts[partIncarnation]) != i.Incarnation {
		return 0, &fuchsiaspoke.Refusal{
			Code:    fuchsiaspoke.CodeOutcomeUnknown,
			Message: "the process that issued the idempotency key is gone",
			Run:     fuchsiaspoke.RunUnknown,
			Status:  http.StatusGatewayTimeout,
		}
	}
	millis, err := strconv.ParseInt(parts[partIssued], millisBase, 64)
	if err != nil {
		return 0, notIssued()
	}
	return max(0, i.now()-time.Duration(millis)*time.Millisecond), nil
}

func (i *Issuer) verify(key, account string) ([]string, error) {
	if i.check() != nil || len(key) > maxKeyBytes {
		return nil, notIssued()
	}
	cut := strings.LastIndexByte(key, '.')
	if cut < 0 {
		return nil, notIssued()
	}
	want := i.mac(key[:cut], account)
	if !hmac.Equal([]byte(key[cut+1:]), []byte(want)) {
		return nil, notIssued()
	}
	parts := strings.Split(key, ".")
	if len(parts) != partCount || parts[partVersion] != version {
		return nil, notIssued()
	}
	return parts, nil
}

func (i *Issuer) check() error {
	if len(i.Secret) < minSecretBytes {
		return errors.Errorf("secret has %d bytes, fewer than %d", len(i.Secret), minSecretBytes)
	}
	if i.VM == "" || len(i.VM) > maxNameBytes {
		return errors.Errorf("VM name %q is empty or too long", i.VM)
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

// decodeName reads a part that the MAC has proved to be ours.
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
