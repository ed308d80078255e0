package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key}
}

// issue creates a certificate with the serial number and writes the certificate, its key and the authority to dir.
func (a authority) issue(t *testing.T, dir string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	modified := time.Unix(1_700_000_000+serial, 0)
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der}, files.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.CA: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// handshake returns the serial number of the server's certificate, or an error if either side rejects the other. It
// reads a byte, because with TLS 1.3 a client learns only from a read that its certificate was rejected.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte("x"))
	}()
	c, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a renewed certificate that is only used after a restart, and against connections that fail while the
// files are half-written.
func TestCertificateIsReloaded(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	files := ca.issue(t, dir, 2)
	s, err := Load(files)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	s.now = func() time.Time { now = now.Add(checkInterval); return now }
	serial := func() int64 {
		n, err := handshake(t, s.Server(), s.PeerClient())
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	if got := serial(); got != 2 {
		t.Fatalf("serial %d, want 2", got)
	}
	if err := os.WriteFile(files.Key, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 2 {
		t.Errorf("serial %d while the key is half-written, want 2", got)
	}
	ca.issue(t, dir, 3)
	if got := serial(); got != 3 {
		t.Errorf("serial %d after the renewal, want 3", got)
	}
}

// Guards against peer links without a certificate from the own authority.
func TestPeersNeedCertificate(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	own, err := Load(ca.issue(t, t.TempDir(), 2))
	if err != nil {
		t.Fatal(err)
	}
	untrusted, err := Load(other.issue(t, t.TempDir(), 3))
	if err != nil {
		t.Fatal(err)
	}
	_, roots := own.current()
	for _, c := range []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"own authority", own.PeerClient(), true},
		{"no certificate", &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}, false},
		{"other authority", &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13, GetClientCertificate: untrusted.PeerClient().GetClientCertificate}, false},
		{"client that trusts another authority", untrusted.PeerClient(), false},
	} {
		if _, err := handshake(t, own.PeerServer(), c.client); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
