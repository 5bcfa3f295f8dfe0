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

// listener is an HTTP server with its listening socket.
type listener struct {
	server *http.Server
	socket net.Listener
	done   sync.WaitGroup
}

// address returns the address on which the listener accepts connections.
func (l *listener) address() string { return l.socket.Addr().String() }

// newServer creates a server that supports HTTP/1 and HTTP/2, the latter also without TLS.
func newServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
}

// listen opens the socket and serves in the background. It returns an error if the address or the
// certificate is invalid.
func listen(address string, certificates *settings.TLS, server *http.Server) (*listener, error) {
	socket, err := openSocket(address)
	if err != nil {
		return nil, err
	}
	if certificates != nil {
		config, err := serverTLS(certificates)
		if err != nil {
			socket.Close()
			return nil, err
		}
		server.TLSConfig = config
	}
	return serve(socket, server), nil
}

func openSocket(address string) (net.Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return socket, nil
}

// serve serves a socket in the background.
func serve(socket net.Listener, server *http.Server) *listener {
	l := &listener{server: server, socket: socket}
	l.done.Go(func() {
		// Serve returns when the server is shut down, so its error is ignored.
		if server.TLSConfig != nil {
			_ = server.ServeTLS(socket, "", "")
		} else {
			_ = server.Serve(socket)
		}
	})
	return l
}

// shutdown waits for active requests until ctx is done, then closes their connections.
func (l *listener) shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, l.server.Close())
	}
	l.done.Wait()
	return err
}

// reloadInterval is the time between two checks of the certificate file for changes.
const reloadInterval = 10 * time.Second

// reloadingCertificate is a certificate that is reloaded when its file changes.
type reloadingCertificate struct {
	files settings.TLS

	mu         sync.Mutex
	current    *tls.Certificate
	modifiedAt time.Time
	checkedAt  time.Time
}

func (c *reloadingCertificate) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && time.Since(c.checkedAt) < reloadInterval {
		return c.current, nil
	}
	c.checkedAt = time.Now()
	info, err := os.Stat(c.files.Certificate)
	if err == nil && c.current != nil && info.ModTime().Equal(c.modifiedAt) {
		return c.current, nil
	}
	loaded, loadErr := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err = errors.Join(err, loadErr); err != nil {
		if c.current != nil {
			return c.current, nil // The file may be partially written. The listener must not fail then.
		}
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	c.current = &loaded
	c.modifiedAt = info.ModTime()
	return c.current, nil
}

func serverTLS(files *settings.TLS) (*tls.Config, error) {
	c := &reloadingCertificate{files: *files}
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
	pool, err := readCertPool(files.ClientCA)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// clientTLS returns the TLS configuration for connections to peers: the client certificate of
// this host and the certificate authorities to trust. It returns nil if files is nil.
func clientTLS(files *settings.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	c := &reloadingCertificate{files: *files}
	if _, err := c.get(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get() },
	}
	if files.ClientCA != "" {
		pool, err := readCertPool(files.ClientCA)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	return config, nil
}

func readCertPool(file string) (*x509.CertPool, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("read certificate authorities: %s contains no certificate", file)
	}
	return pool, nil
}
