// Package authenticator ties a caller's key to its client account and to the profiles that it may call.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const bearer = "bearer "

type published interface {
	Profile(name string) (fuchsiaspoke.Profile, bool)
	Key(hash string) (fuchsiaspoke.Key, bool)
}

// Authenticator checks keys by their hashes; it keeps nothing, and its zero value is ready.
type Authenticator struct{}

// KeyHash returns the SHA-256 hash of the bearer key in an Authorization header, in lower-case hexadecimal.
// It is empty when the header is; any other header is refused as unauthenticated.
func (Authenticator) KeyHash(authorization string) (string, error) {
	if authorization == "" {
		return "", nil
	}
	if len(authorization) < len(bearer) || !strings.EqualFold(authorization[:len(bearer)], bearer) {
		return "", refusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated, "the Authorization header holds no bearer key")
	}
	key := strings.TrimSpace(authorization[len(bearer):])
	if key == "" {
		return "", refusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated, "the bearer key is empty")
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]), nil
}

// Authorize returns the profile and the client account that the call counts for, or a *fuchsiaspoke.Refusal.
// On an open profile the key is not looked at and the account is the profile's own.
// It is made for a second call just before sending, with what is in force then.
func (a Authenticator) Authorize(c published, keyHash, profileName string) (fuchsiaspoke.Profile, string, error) {
	profile, found := c.Profile(profileName)
	if found && profile.Open {
		return profile, profile.OpenAccount, nil
	}
	// An unknown caller must not learn which profiles there are, so the key comes before the name.
	account, err := a.Account(c, keyHash)
	if err != nil {
		return fuchsiaspoke.Profile{}, "", err
	}
	if !found {
		return fuchsiaspoke.Profile{}, "", refusal(http.StatusNotFound, fuchsiaspoke.CodeNoProfile, "no profile has this name")
	}
	if !profile.Allows(account) {
		return fuchsiaspoke.Profile{}, "", refusal(http.StatusForbidden, fuchsiaspoke.CodeForbidden, "the client account may not call this profile")
	}
	return profile, account, nil
}

// Account returns the client account of the key with that hash, or a *fuchsiaspoke.Refusal.
func (Authenticator) Account(c published, keyHash string) (string, error) {
	if keyHash == "" {
		return "", refusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated, "a bearer key is needed")
	}
	key, found := c.Key(keyHash)
	same := subtle.ConstantTimeCompare([]byte(key.Hash), []byte(keyHash)) == 1
	if !found || !same {
		return "", refusal(http.StatusUnauthorized, fuchsiaspoke.CodeUnauthenticated, "the key is not known")
	}
	if key.Withdrawn {
		return "", refusal(http.StatusUnauthorized, fuchsiaspoke.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return key.Account, nil
}

func refusal(status int, code fuchsiaspoke.Code, message string) error {
	return &fuchsiaspoke.Refusal{Code: code, Message: message, Run: fuchsiaspoke.NotRun, Status: status}
}
