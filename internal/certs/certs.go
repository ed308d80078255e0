// Package certs loads TLS certificates from files and reloads them when the files change, so that a certificate can be
// renewed without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = time.Second

// Files holds the paths of the PEM files. CA may be empty.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Store holds the current certificate and certificate authorities. It is safe for concurrent use.
type Store struct {
	files Files
	now   func() time.Time

	mu             sync.Mutex
	lastCheck      time.Time
	loadedModTimes [3]time.Time
	cert           *tls.Certificate
	ca             *x509.CertPool
}

// Load reads the files and returns a store that reloads them when they change.
func Load(files Files) (*Store, error) {
	s := &Store{files: files, now: time.Now}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.loadedModTimes = s.readModTimes()
	s.lastCheck = s.now()
	return s, nil
}

func (s *Store) load() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	var ca *x509.CertPool
	if s.files.CA != "" {
		pem, err := os.ReadFile(s.files.CA)
		if err != nil {
			return errors.Wrap(err, "load certificate authorities")
		}
		ca = x509.NewCertPool()
		if !ca.AppendCertsFromPEM(pem) {
			return errors.Errorf("%s contains no certificate", s.files.CA)
		}
	}
	s.cert, s.ca = &cert, ca
	return nil
}

// readModTimes returns the modification times of the files; that of a missing file is zero.
func (s *Store) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// current returns the certificate and the authorities. It reloads them first if the files have changed. While the files
// cannot be loaded, for example between the writes of certificate and key, the previous ones stay in use.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.lastCheck) < checkInterval {
		return s.cert, s.ca
	}
	s.lastCheck = now
	if modTimes := s.readModTimes(); modTimes != s.loadedModTimes && s.load() == nil {
		s.loadedModTimes = modTimes
	}
	return s.cert, s.ca
}

// Server returns the TLS configuration for connections from callers.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}

// PeerServer returns the TLS configuration for incoming peer links. Clients must present a certificate that one of the
// authorities has signed.
func (s *Store) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, ca := s.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientAuth: tls.RequireAndVerifyClientCert,
				ClientCAs: ca, NextProtos: []string{"http/1.1"},
			}, nil
		},
	}
}

// PeerClient returns the TLS configuration for outgoing peer links. It keeps using the authorities that are current when
// it is called, while the client certificate is reloaded.
func (s *Store) PeerClient() *tls.Config {
	_, ca := s.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    ca,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
}
