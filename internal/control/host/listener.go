package host

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"redwinglock/internal/state/settings"
)

const readHeaderTimeout = 10 * time.Second

// listener is one of the three HTTP listeners of a host.
type listener struct {
	server *http.Server
	socket net.Listener
	done   sync.WaitGroup
}

// address returns the address on which the listener takes connections.
func (l *listener) address() string { return l.socket.Addr().String() }

// newServer creates a server that speaks HTTP/1 and HTTP/2, the latter also without TLS.
func newServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
}

// listen starts to serve. Errors of the address or the certificate are returned at once.
func listen(address string, certificates *settings.TLS, server *http.Server) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if certificates != nil {
		config, err := serverTLS(certificates)
		if err != nil {
			socket.Close()
			return nil, err
		}
		server.TLSConfig = config
	}
	l := &listener{server: server, socket: socket}
	l.done.Go(func() {
		// Serve ends with the shutdown of the server; there is nothing to report.
		if certificates != nil {
			_ = server.ServeTLS(socket, "", "")
		} else {
			_ = server.Serve(socket)
		}
	})
	return l, nil
}

// shutdown waits for active requests until ctx ends, then cuts them.
func (l *listener) shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, l.server.Close())
	}
	l.done.Wait()
	return err
}

// reloadInterval is the time between two looks at the certificate files.
const reloadInterval = 10 * time.Second

// certificate is a certificate that is read again when its file changes.
type certificate struct {
	files settings.TLS

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

func (c *certificate) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && time.Since(c.checked) < reloadInterval {
		return c.current, nil
	}
	c.checked = time.Now()
	info, err := os.Stat(c.files.Certificate)
	if err == nil && c.current != nil && info.ModTime().Equal(c.modified) {
		return c.current, nil
	}
	loaded, loadErr := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err = errors.Join(err, loadErr); err != nil {
		if c.current != nil {
			return c.current, nil // A half-written file does not take the listener down.
		}
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	c.current = &loaded
	c.modified = info.ModTime()
	return c.current, nil
}

func serverTLS(files *settings.TLS) (*tls.Config, error) {
	c := &certificate{files: *files}
	if _, err := c.get(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get() },
	}
	if files.ClientCA == "" {
		return config, nil
	}
	pool, err := readPool(files.ClientCA)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// clientTLS returns how this host connects to its peers: with its own certificate, and
// trusting the authorities of the peers.
func clientTLS(files *settings.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	c := &certificate{files: *files}
	if _, err := c.get(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get() },
	}
	if files.ClientCA != "" {
		pool, err := readPool(files.ClientCA)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	return config, nil
}

func readPool(file string) (*x509.CertPool, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("read authorities: %s holds no certificate", file)
	}
	return pool, nil
}
