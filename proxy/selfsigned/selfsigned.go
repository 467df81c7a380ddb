// Package selfsigned creates self-signed certificates for benchmarks and tests.
package selfsigned

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

// validity exceeds the duration of any benchmark or test.
const validity = 24 * time.Hour

// Pair is a self-signed certificate for 127.0.0.1, usable by both ends of a connection, and its ECDSA
// P-256 key, both PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// New generates a pair.
func New() (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(validity),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return Pair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certDER}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// TLSConfigs returns the configuration of a server with the certificate, and of a client that trusts only this
// certificate.
func (p Pair) TLSConfigs() (server, client *tls.Config, err error) {
	certificate, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, nil, err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(p.Certificate)
	return &tls.Config{Certificates: []tls.Certificate{certificate}}, &tls.Config{RootCAs: roots}, nil
}
