// Package keyring derives the secrets and TLS certificates of the links between VMs from the fleet key.
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
	"github.com/quic-go/quic-go"
)

const (
	// keyBytes is the size of the fleet key and of each derived secret.
	keyBytes = 32
	// serverName is the DNS name in the certificate of every VM.
	serverName = "fuchsiaspoke"
	// alpnProtocol is the ALPN protocol name of the links.
	alpnProtocol = "fuchsiaspoke-link/1"
	// certValidity is how long a process's certificate is valid before and after its creation. The CA certificate, which each
	// process creates as well, expires at the same time.
	certValidity = 10 * 365 * 24 * time.Hour
)

// Keyring holds the fleet key, which all VMs of a fleet share.
type Keyring struct {
	key []byte
}

// New returns the keyring of a fleet key given as 64 hexadecimal digits.
func New(fleetKey string) (Keyring, error) {
	key, err := hex.DecodeString(fleetKey)
	if err != nil || len(key) != keyBytes {
		return Keyring{}, errors.New("the fleet key must be 64 hexadecimal digits")
	}
	return Keyring{key: key}, nil
}

// Secret derives the 32-byte secret for a purpose with HKDF-SHA256 (RFC 5869).
func (k Keyring) Secret(purpose string) ([]byte, error) {
	secret, err := hkdf.Key(sha256.New, k.key, nil, purpose, keyBytes)
	return secret, errors.Wrapf(err, "derive %s secret", purpose)
}

// ResetKey derives the key by which a process of a VM ends links to the VM's former processes (stateless reset, RFC 9000, section 10.3).
func (k Keyring) ResetKey(vm string) (*quic.StatelessResetKey, error) {
	secret, err := k.Secret("link reset " + vm)
	if err != nil {
		return nil, err
	}
	return (*quic.StatelessResetKey)(secret), nil
}

// TLS returns the mutual TLS configuration of one process; its certificate names the VM and the incarnation.
func (k Keyring) TLS(vm, incarnation string) (*tls.Config, error) {
	caSeed, err := k.Secret("link authority")
	if err != nil {
		return nil, err
	}
	caKey := ed25519.NewKeyFromSeed(caSeed)
	caCert, err := caCertificate(caKey)
	if err != nil {
		return nil, err
	}
	leaf, err := leafCertificate(caCert, caKey, vm, incarnation)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(caCert)
	return &tls.Config{
		Certificates: []tls.Certificate{leaf},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   serverName,
		NextProtos:   []string{alpnProtocol},
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// PeerIdentity returns the VM and the incarnation that the peer's verified certificate names.
func PeerIdentity(state tls.ConnectionState) (vm, incarnation string, err error) {
	if len(state.PeerCertificates) == 0 {
		return "", "", errors.New("the peer presented no certificate")
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return "", "", errors.New("the peer's certificate must have exactly one organizational unit, the incarnation")
	}
	return subject.CommonName, subject.OrganizationalUnit[0], nil
}

func caCertificate(caKey ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: serverName + " fleet"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Now().Add(certValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return signCertificate(template, template, caKey.Public(), caKey)
}

func leafCertificate(caCert *x509.Certificate, caKey ed25519.PrivateKey, vm, incarnation string) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate certificate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: vm, OrganizationalUnit: []string{incarnation}},
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(-certValidity),
		NotAfter:     time.Now().Add(certValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leaf, err := signCertificate(template, caCert, public, caKey)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: private, Leaf: leaf}, nil
}

func signCertificate(template, parent *x509.Certificate, public crypto.PublicKey, signer crypto.Signer) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return nil, errors.Wrapf(err, "sign certificate of %s", template.Subject.CommonName)
	}
	return x509.ParseCertificate(der)
}
