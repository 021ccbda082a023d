package auth

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"

	"google.golang.org/grpc/credentials"
)

// TLSFiles names the certificate, key and authorities of one identity in PEM form.
type TLSFiles struct {
	Cert string `yaml:"cert" json:"cert"`
	Key  string `yaml:"key" json:"key"`
	// CA holds the authorities whose certificates the other side may present.
	CA string `yaml:"ca,omitempty" json:"ca,omitempty"`
}

// tlsMaterial is what Files holds.
type tlsMaterial struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// TLSKeys are the certificate and authorities of this process, read again when their files change.
type TLSKeys struct {
	reloader *reloader[tlsMaterial]
}

// ReadTLSKeys reads the files and follows their changes.
func ReadTLSKeys(f TLSFiles, how Watch) (*TLSKeys, error) {
	files := []string{f.Cert, f.Key}
	if f.CA != "" {
		files = append(files, f.CA)
	}
	w, err := newReloader(files, f.load, how)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	return &TLSKeys{reloader: w}, nil
}

func (f TLSFiles) load() (tlsMaterial, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return tlsMaterial{}, fmt.Errorf("load certificate and key: %w", err)
	}
	p := tlsMaterial{cert: cert}
	if f.CA != "" {
		if p.pool, err = ReadCertPool(f.CA); err != nil {
			return tlsMaterial{}, err
		}
	}
	return p, nil
}

// ReadCertPool reads a file of authorities.
func ReadCertPool(path string) (*x509.CertPool, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("read authorities: %s holds no certificate", path)
	}
	return pool, nil
}

// ServerConfig returns the TLS settings of a listener for callers, who prove who they are by tokens.
func (k *TLSKeys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { c := k.reloader.get().cert; return &c, nil },
	}
}

// PeerCredentials returns credentials for connections between processes, in both
// directions. The other side must present a certificate of the authority that
// names one of the instances; addresses are not compared, so instances can move.
// Failed handshakes are reported, since gRPC only shows them as a lost connection.
func (k *TLSKeys) PeerCredentials(names []string, report func(error)) credentials.TransportCredentials {
	if report == nil {
		report = func(error) {}
	}
	return peerCredentials{keys: k, names: names, report: report}
}

type peerCredentials struct {
	keys   *TLSKeys
	names  []string
	report func(error)
}

// tlsConfig returns the TLS settings with the present certificate and authorities.
func (p peerCredentials) tlsConfig() *tls.Config {
	current := p.keys.reloader.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// The chain is checked by VerifyConnection, against names instead of addresses.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyPeer(s, current.pool, p.names) },
	}
}

// verifyPeer checks chain and name of the other side's certificate.
func verifyPeer(s tls.ConnectionState, pool *x509.CertPool, names []string) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer presents no certificate")
	}
	leaf := s.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return fmt.Errorf("verify certificate of peer: %w", err)
	}
	if !slices.ContainsFunc(leaf.DNSNames, func(n string) bool { return slices.Contains(names, n) }) {
		return fmt.Errorf("certificate names %v, which is no instance of the deployment", leaf.DNSNames)
	}
	return nil
}

// ClientHandshake authenticates both sides of a connection that this process opened.
func (p peerCredentials) ClientHandshake(ctx context.Context, authority string, c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := credentials.NewTLS(p.tlsConfig()).ClientHandshake(ctx, authority, c)
	return conn, info, p.reportFailure("handshake with", c, err)
}

// ServerHandshake authenticates both sides of a connection that this process accepted.
func (p peerCredentials) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := credentials.NewTLS(p.tlsConfig()).ServerHandshake(c)
	return conn, info, p.reportFailure("handshake from", c, err)
}

// reportFailure reports and returns the error of a handshake, nil when there is none.
func (p peerCredentials) reportFailure(what string, c net.Conn, err error) error {
	if err == nil {
		return nil
	}
	err = fmt.Errorf("%s %s: %w", what, c.RemoteAddr(), err)
	p.report(err)
	return err
}

// Info describes the protocol.
func (p peerCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone returns the same credentials, which hold no state of a connection.
func (p peerCredentials) Clone() credentials.TransportCredentials { return p }

// OverrideServerName does nothing, since names of the deployment are compared.
func (p peerCredentials) OverrideServerName(string) error { return nil }
