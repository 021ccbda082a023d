package auth

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// authorityValidity and certificateValidity are the validity periods of development certificates.
	authorityValidity   = 365 * 24 * time.Hour
	certificateValidity = 90 * 24 * time.Hour
	// backdate is how far NotBefore lies in the past, to allow for clock skew.
	backdate = 5 * time.Minute
)

// Authority is a certificate authority for development; it issues the certificates of instances.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// NewAuthority creates an authority and writes ca.crt and ca.key to the folder, which
// it creates if needed. It returns an error when the folder already holds an authority.
func NewAuthority(dir string) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create folder for keys: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, "ca.key")); err == nil {
		return nil, fmt.Errorf("folder %s holds an authority already", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of authority: %w", err)
	}
	tmpl, err := newTemplate("turmericroute development authority", authorityValidity)
	if err != nil {
		return nil, err
	}
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
	a := &Authority{cert: tmpl, key: key, dir: dir}
	if err := a.writeCertificate("ca", tmpl, key); err != nil {
		return nil, err
	}
	return a, nil
}

// OpenAuthority loads the authority from ca.crt and ca.key in a folder.
func OpenAuthority(dir string) (*Authority, error) {
	keyPair, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return nil, fmt.Errorf("open authority: %w", err)
	}
	key, ok := keyPair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("open authority: the key in %s is not an ECDSA key", dir)
	}
	return &Authority{cert: keyPair.Leaf, key: key, dir: dir}, nil
}

// Issue writes a new NAME.crt and NAME.key for an instance that is reached at the addresses.
func (a *Authority) Issue(name string, ips []net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key of %s: %w", name, err)
	}
	tmpl, err := newTemplate(name, certificateValidity)
	if err != nil {
		return err
	}
	tmpl.DNSNames, tmpl.IPAddresses = []string{name}, ips
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.writeCertificate(name, tmpl, key)
}

// newTemplate returns an unsigned certificate for name with a random serial number.
func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdate), NotAfter: now.Add(validity),
	}, nil
}

// writeCertificate signs a certificate and writes its key and then the certificate. Each file is
// replaced atomically, so a process that reads it at the same time sees either the old or the new
// content.
func (a *Authority) writeCertificate(name string, tmpl *x509.Certificate, key *ecdsa.PrivateKey) error {
	certDER, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key of %s: %w", name, err)
	}
	if err := writePEM(filepath.Join(a.dir, name+".key"), "PRIVATE KEY", keyDER, 0o600); err != nil {
		return err
	}
	return writePEM(filepath.Join(a.dir, name+".crt"), "CERTIFICATE", certDER, 0o644)
}

// writePEM replaces a file atomically with one PEM block.
func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	b := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(path+".new", b, mode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return nil
}
