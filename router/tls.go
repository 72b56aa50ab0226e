package router

// This file reads the certificates that the settings name.

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"bulrushtally/settings"
)

func certificate(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("certificate %q with key %q: %w; give a matching pair in PEM", cert, key, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}, nil
}

// peerTLS returns the configurations for links, where both sides show certificates.
func peerTLS(s *settings.Settings) (server, client *tls.Config, err error) {
	server, err = certificate(s.PeerTLSCert, s.PeerTLSKey)
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
