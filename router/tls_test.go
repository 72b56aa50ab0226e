package router_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bulrushtally/lab"
	"bulrushtally/settings"
)

// writeCertificate writes a self-signed certificate for loopback addresses, which is also its own
// certificate authority, and its key. It returns the paths of the two PEM files.
func writeCertificate(t *testing.T) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "router"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1"), net.ParseIP("127.0.1.1"), net.ParseIP("127.0.2.1")},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", keyDER)
}

// TestTLS uses TLS on links between routers and on callers' connections. Callers without TLS and
// peers without a certificate must be rejected.
func TestTLS(t *testing.T) {
	cert, key := writeCertificate(t)
	o := smallFleet(1)
	o.AdjustSettings = func(s *settings.Settings) {
		s.PeerTLSCert, s.PeerTLSKey, s.PeerTLSCA = cert, key, cert
		s.TLSCert, s.TLSKey = cert, key
	}
	f := startFleet(t, o) // returns only once the routers know each other over their links
	plain := lab.NewClient().Complete(context.Background(), f.Routers[0].Address(), lab.CustomerName(0), "call without TLS", 4, true)
	if plain.Succeeded() {
		t.Error("a call without TLS succeeded")
	}
	pool := x509.NewCertPool()
	data, err := os.ReadFile(cert)
	if err != nil {
		t.Fatal(err)
	}
	pool.AppendCertsFromPEM(data)
	c := http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	resp, err := c.Get("https://" + f.Routers[0].Address() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusOK; got != want {
		t.Errorf("status over TLS: %d, want %d", got, want)
	}
	withoutCertificate := tls.Config{InsecureSkipVerify: true}
	s, err := tls.Dial("tcp", f.Routers[0].PeerAddress(), &withoutCertificate)
	if err == nil {
		s.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err = s.Read(make([]byte, 1)); err == nil {
			t.Error("a peer without a certificate was accepted")
		}
		s.Close()
	}
}
