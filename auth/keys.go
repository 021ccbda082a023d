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
	// authorityValidity and certificateValidity bound development keys.
	authorityValidity   = 365 * 24 * time.Hour
	certificateValidity = 90 * 24 * time.Hour
	// backdate allows for clocks that are a little behind.
	backdate = 5 * time.Minute
)

// Authority is a development authority that issues certificates of instances.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// NewAuthority makes an authority in a new folder or one without one; it
// writes ca.crt and ca.key there.
func NewAuthority(dir string) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("make folder of keys: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, "ca.key")); err == nil {
		return nil, fmt.Errorf("folder %s holds an authority already", dir)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key of authority: %w", err)
	}
	t, err := newTemplate("turmericroute development authority", authorityValidity)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	a := &Authority{cert: t, key: key, dir: dir}
	if err := a.writeCertificate("ca", t, key); err != nil {
		return nil, err
	}
	return a, nil
}

// OpenAuthority opens the authority in a folder.
func OpenAuthority(dir string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.crt"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return nil, fmt.Errorf("open authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("open authority: key of %s is of another kind than this program makes", dir)
	}
	return &Authority{cert: pair.Leaf, key: key, dir: dir}, nil
}

// Issue writes NAME.crt and NAME.key for an instance that is reached at the addresses.
func (a *Authority) Issue(name string, ips []net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make key of %s: %w", name, err)
	}
	t, err := newTemplate(name, certificateValidity)
	if err != nil {
		return err
	}
	t.DNSNames, t.IPAddresses = []string{name}, ips
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.writeCertificate(name, t, key)
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("make serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdate), NotAfter: now.Add(life),
	}, nil
}

// writeCertificate signs a certificate and writes it with its key. The files are replaced
// whole, so a process that reads them meanwhile sees the old or the new ones.
func (a *Authority) writeCertificate(name string, t *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key of %s: %w", name, err)
	}
	if err := writePEM(filepath.Join(a.dir, name+".key"), "PRIVATE KEY", secret, 0o600); err != nil {
		return err
	}
	return writePEM(filepath.Join(a.dir, name+".crt"), "CERTIFICATE", der, 0o644)
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path+".new", b, mode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return nil
}
