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

// TLSFiles names the PEM files of a certificate, its key and the accepted authorities.
type TLSFiles struct {
	Cert string `yaml:"cert" json:"cert"`
	Key  string `yaml:"key" json:"key"`
	// CA is the file of the authorities that the other side's certificate is verified against.
	CA string `yaml:"ca,omitempty" json:"ca,omitempty"`
}

// tlsMaterial is the content of TLSFiles; pool is nil without a CA file.
type tlsMaterial struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// TLSKeys holds the certificate and authorities of this process, reloaded when their files change.
type TLSKeys struct {
	reloader *reloader[tlsMaterial]
}

// ReadTLSKeys reads the files, which are reloaded when they change.
func ReadTLSKeys(f TLSFiles, opts ReloadOptions) (*TLSKeys, error) {
	files := []string{f.Cert, f.Key}
	if f.CA != "" {
		files = append(files, f.CA)
	}
	r, err := newReloader(files, f.load, opts)
	if err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	return &TLSKeys{reloader: r}, nil
}

func (f TLSFiles) load() (tlsMaterial, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return tlsMaterial{}, fmt.Errorf("load certificate and key: %w", err)
	}
	material := tlsMaterial{cert: cert}
	if f.CA != "" {
		if material.pool, err = ReadCertPool(f.CA); err != nil {
			return tlsMaterial{}, err
		}
	}
	return material, nil
}

// ReadCertPool reads a PEM file of the certificates of authorities.
func ReadCertPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("read authorities: %s contains no certificate", path)
	}
	return pool, nil
}

// ServerConfig returns the TLS configuration of a listener for callers. It asks for no client
// certificates, since callers authenticate with tokens.
func (k *TLSKeys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { c := k.reloader.get().cert; return &c, nil },
	}
}

// PeerCredentials returns credentials for accepted and opened connections between
// processes. The peer must present a certificate that an authority has signed for one
// of the names; addresses are not compared, so instances can move. Failed handshakes
// are passed to report, since gRPC only shows them as a lost connection.
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

// tlsConfig returns a TLS configuration with the current certificate and authorities.
func (p peerCredentials) tlsConfig() *tls.Config {
	current := p.keys.reloader.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// VerifyConnection verifies the chain instead, and compares names rather than addresses.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyPeer(s, current.pool, p.names) },
	}
}

// verifyPeer verifies the chain and the name of the peer's certificate.
func verifyPeer(s tls.ConnectionState, pool *x509.CertPool, names []string) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	leaf := s.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	if !slices.ContainsFunc(leaf.DNSNames, func(n string) bool { return slices.Contains(names, n) }) {
		return fmt.Errorf("certificate is for %v, none of which is an instance of the deployment", leaf.DNSNames)
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

// reportFailure adds the peer's address to the error of a handshake, reports it and returns it; nil
// when err is nil.
func (p peerCredentials) reportFailure(action string, c net.Conn, err error) error {
	if err == nil {
		return nil
	}
	err = fmt.Errorf("%s %s: %w", action, c.RemoteAddr(), err)
	p.report(err)
	return err
}

// Info returns the name of the security protocol.
func (p peerCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone returns the same credentials, since they hold no state of a connection.
func (p peerCredentials) Clone() credentials.TransportCredentials { return p }

// OverrideServerName does nothing, since the peer's certificate is compared with the names of instances.
func (p peerCredentials) OverrideServerName(string) error { return nil }
