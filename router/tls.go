package router

// This file loads the TLS certificates named in the settings.

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"bulrushtally/settings"
)

// loadTLSConfig returns a server configuration with a certificate from PEM files, or nil if
// certFile is empty. It fails if the files cannot be read or do not match.
func loadTLSConfig(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate %q with key %q: %w; give a matching pair in PEM", certFile, keyFile, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// loadPeerTLSConfigs returns the configurations for links between routers, in which both sides
// verify each other's certificates, or nil if the settings name no certificate.
func loadPeerTLSConfigs(s *settings.Settings) (server, client *tls.Config, err error) {
	server, err = loadTLSConfig(s.PeerTLSCert, s.PeerTLSKey)
	if err != nil || server == nil {
		return nil, nil, err
	}
	data, err := os.ReadFile(s.PeerTLSCA)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, fmt.Errorf("no certificate in %q; give the authority's certificate in PEM", s.PeerTLSCA)
	}
	client = server.Clone()
	client.RootCAs = pool
	server.ClientCAs = pool
	server.ClientAuth = tls.RequireAndVerifyClientCert
	return server, client, nil
}
