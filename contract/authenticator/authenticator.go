// Package authenticator resolves a caller's API key to a client account and checks which profiles the account may call.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const bearerPrefix = "bearer "

type catalog interface {
	Profile(name string) (fuchsiaspoke.Profile, bool)
	Key(hash string) (fuchsiaspoke.Key, bool)
}

// Authenticator checks API keys by their hashes. It has no state, and its zero value is ready to use.
type Authenticator struct{}

// KeyHash returns the SHA-256 hash of the bearer key in an Authorization header, in lower-case hexadecimal.
// An empty header gives an empty hash; any other header without a bearer key gives a *fuchsiaspoke.Refusal with
// CodeUnauthenticated.
func (Authenticator) KeyHash(authorization string) (string, error) {
	if authorization == "" {
		return "", nil
	}
	if len(authorization) < len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return "", newRefusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated, "the Authorization header holds no bearer key")
	}
	key := strings.TrimSpace(authorization[len(bearerPrefix):])
	if key == "" {
		return "", newRefusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated, "the bearer key is empty")
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]), nil
}

// Authorize returns the profile and the client account that the call is charged to, or a *fuchsiaspoke.Refusal.
// An open profile needs no key, and its calls are charged to the profile's own account.
// It is called on admission, right before sending, and for running requests after each change of the catalog, so that a
// withdrawn key or a profile that no longer allows the account takes effect on them too.
func (a Authenticator) Authorize(c catalog, keyHash, profileName string) (fuchsiaspoke.Profile, string, error) {
	profile, found := c.Profile(profileName)
	if found && profile.Open {
		return profile, profile.OpenAccount, nil
	}
	// The key is checked before the name, so that unauthenticated callers cannot find out which profiles exist.
	account, err := a.Account(c, keyHash)
	if err != nil {
		return fuchsiaspoke.Profile{}, "", err
	}
	if !found {
		return fuchsiaspoke.Profile{}, "", newRefusal(http.StatusNotFound, fuchsiaspoke.CodeNoProfile, "no profile has this name")
	}
	if !profile.Allows(account) {
		return fuchsiaspoke.Profile{}, "", newRefusal(http.StatusForbidden, fuchsiaspoke.CodeForbidden, "the client account may not call this profile")
	}
	return profile, account, nil
}

// Account returns the client account of the key with that hash, or a *fuchsiaspoke.Refusal.
func (Authenticator) Account(c catalog, keyHash string) (string, error) {
	if keyHash == "" {
		return "", newRefusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated, "a bearer key is needed")
	}
	key, found := c.Key(keyHash)
	hashMatches := subtle.ConstantTimeCompare([]byte(key.Hash), []byte(keyHash)) == 1
	if !found || !hashMatches {
		return "", newRefusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated, "the key is not known")
	}
	if key.Withdrawn {
		return "", newRefusal(http.StatusUnauthorized, fuchsiaspoke.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return key.Account, nil
}

func newRefusal(status int, code fuchsiaspoke.RefusalCode, message string) error {
	return &fuchsiaspoke.Refusal{Code: code, Message: message, Run: fuchsiaspoke.NotRun, Status: status}
}
