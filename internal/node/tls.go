package node

import (
	"crypto/tls"
	"net/http"

	"github.com/egretspar/egretspar/internal/certs"
	"github.com/egretspar/egretspar/internal/optional"
	"github.com/egretspar/egretspar/internal/peer"
	"github.com/egretspar/egretspar/internal/version"
)

// loadCerts loads the certificates that the settings name, if any.
func (n *Node) loadCerts() error {
	t := n.settings.Tls
	if t == nil {
		return nil
	}
	var err error
	n.certs, err = certs.Load(certs.Files{Cert: t.CertFile, Key: t.KeyFile, CA: optional.Value(t.PeerCaFile)})
	if err != nil {
		return err
	}
	if n.peersUseTLS() {
		n.peerListener = tls.NewListener(n.peerListener, n.certs.PeerServer())
	}
	return nil
}

// peersUseTLS reports whether peer links use mutual TLS; this needs certificate authorities for peers.
func (n *Node) peersUseTLS() bool { return n.certs != nil && n.settings.Tls.PeerCaFile != nil }

// callerTLS returns the TLS configuration for callers and operators, or nil for plain HTTP.
func (n *Node) callerTLS() *tls.Config {
	if n.certs == nil {
		return nil
	}
	return n.certs.Server()
}

func (n *Node) linkOptions() peer.Options {
	o := peer.Options{Self: n.self, Version: version.Version, Secrets: n.settings.Peers.Secrets, Log: n.log}
	if n.peersUseTLS() {
		o.Scheme = "wss"
		o.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: n.certs.PeerClient(), DisableKeepAlives: true}}
	}
	return o
}
