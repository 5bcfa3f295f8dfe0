package host

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

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/settings"
)

// writeCertificate writes a self-signed certificate for loopback and returns its files.
func writeCertificate(t *testing.T, dir, name string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	content, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyContent, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := settings.TLS{Certificate: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key")}
	files.ClientCA = files.Certificate
	require.NoError(t, os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: content}), 0o600))
	require.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyContent}), 0o600))
	return files
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	dir := t.TempDir()
	own, untrusted := writeCertificate(t, dir, "own"), writeCertificate(t, dir, "stranger")
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	l, err := listen("127.0.0.1:0", &own, server)
	require.NoError(t, err)
	defer func() { require.NoError(t, l.shutdown(context.Background())) }()
	untrustedWithOwnCA := untrusted
	untrustedWithOwnCA.ClientCA = own.Certificate
	rows := []struct {
		name  string
		files *settings.TLS
		ok    bool
	}{
		{"certificate of a peer", &own, true},
		{"certificate that the peer does not trust", &untrustedWithOwnCA, false},
		{"peer does not trust the server certificate", &untrusted, false},
		{"no certificate", nil, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			config, err := clientTLS(row.files)
			require.NoError(t, err)
			if config == nil {
				config = &tls.Config{InsecureSkipVerify: true}
			}
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
			defer client.CloseIdleConnections()
			response, err := client.Get("https://" + l.address())
			if !row.ok {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		})
	}
}

func TestCertificateIsReadAgainWhenItChanges(t *testing.T) {
	dir := t.TempDir()
	files := writeCertificate(t, dir, "host")
	c := &reloadingCertificate{files: files}
	first, err := c.get()
	require.NoError(t, err)

	require.NoError(t, os.WriteFile(files.Certificate, []byte("half written"), 0o600))
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(files.Certificate, later, later))
	c.checkedAt = time.Time{}
	same, err := c.get()
	require.NoError(t, err)
	require.Equal(t, first, same, "the previous certificate stays in use while the file is invalid")

	writeCertificate(t, dir, "host")
	later = later.Add(time.Minute)
	require.NoError(t, os.Chtimes(files.Certificate, later, later))
	c.checkedAt = time.Time{}
	next, err := c.get()
	require.NoError(t, err)
	require.NotEqual(t, first.Certificate, next.Certificate)
}

func TestBadListenersAreRefused(t *testing.T) {
	rows := []struct {
		name    string
		address string
		files   *settings.TLS
	}{
		{"address", "nowhere", nil},
		{"certificate", "127.0.0.1:0", &settings.TLS{Certificate: "/gone.crt", Key: "/gone.key"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := listen(row.address, row.files, newServer(http.NotFoundHandler()))
			require.Error(t, err)
		})
	}
}
