// Package keyring derives the key material of the links between VMs from one fleet key.
package keyring

import (
	"crypto"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

const (
	// fleetKeyBytes is the size of the fleet key.
	fleetKeyBytes = 32
	// serverName is the name that every VM's certificate carries.
	serverName = "fuchsiaspoke"
	// protocol is the ALPN name of the link.
	protocol = "fuchsiaspoke-link/1"
	// validity is how long a process's certificate lasts to either side of its start.
	validity = 10 * 365 * 24 * time.Hour
)

// Keyring holds the secrets that all VMs of a fleet share.
type Keyring struct {
	seed []byte
}

// New reads a fleet key of 64 hexadecimal digits.
func New(fleetKey string) (Keyring, error) {
	seed, err := hex.DecodeString(fleetKey)
	if err != nil || len(seed) != fleetKeyBytes {
		return Keyring{}, errors.New("the fleet key must be 64 hexadecimal digits")
	}
	return Keyring{seed: seed}, nil
}

// Secret derives the 32-byte secret for one purpose by HKDF-SHA256 (RFC 5869).
func (k Keyring) Secret(purpose string) ([]byte, error) {
	secret, err := hkdf.Key(sha256.New, k.seed, nil, purpose, fleetKeyBytes)
	return secret, errors.Wrapf(err, "derive %s secret", purpose)
}

// TLS returns the mutual-authentication settings of one process, whose certificate names the VM and its incarnation.
func (k Keyring) TLS(vm, incarnation string) (*tls.Config, error) {
	authoritySeed, err := k.Secret("link authority")
	if err != nil {
		return nil, err
	}
	authority := ed25519.NewKeyFromSeed(authoritySeed)
	root, err := authorityCertificate(authority)
	if err != nil {
		return nil, err
	}
	leaf, err := leafCertificate(root, authority, vm, incarnation)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(root)
	return &tls.Config{
		Certificates: []tls.Certificate{leaf},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// Peer returns the VM and the incarnation that a verified connection belongs to.
func Peer(state tls.ConnectionState) (vm, incarnation string, err error) {
	if len(state.PeerCertificates) == 0 {
		return "", "", errors.New("the peer showed no certificate")
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return "", "", errors.New("the peer's certificate names no incarnation")
	}
	return subject.CommonName, subject.OrganizationalUnit[0], nil
}

func authorityCertificate(authority ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: serverName + " fleet"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return sign(template, template, authority.Public(), authority)
}

func leafCertificate(root *x509.Certificate, authority ed25519.PrivateKey, vm, incarnation string) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "make link key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: vm, OrganizationalUnit: []string{incarnation}},
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leaf, err := sign(template, root, public, authority)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: private, Leaf: leaf}, nil
}

func sign(template, parent *x509.Certificate, public crypto.PublicKey, signer crypto.Signer) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return nil, errors.Wrapf(err, "sign certificate of %s", template.Subject.CommonName)
	}
	return x509.ParseCertificate(der)
}
