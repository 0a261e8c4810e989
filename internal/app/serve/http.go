package serve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/edge/certs"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// server is an HTTP server on one address.
type server struct {
	address    string
	listener   net.Listener
	httpServer *http.Server
}

// newServer returns a server for HTTP/1.1 and HTTP/2. It uses no TLS if tlsConfig is nil.
func newServer(address string, handler http.Handler, tlsConfig *tls.Config) *server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{address: address, httpServer: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
	}}
}

func (server *server) start() error {
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", server.address)
	}
	server.listener = listener
	go func() {
		if server.httpServer.TLSConfig != nil {
			_ = server.httpServer.ServeTLS(listener, "", "")
			return
		}
		_ = server.httpServer.Serve(listener)
	}()
	return nil
}

// close waits for the active calls until the context ends, then closes their connections.
func (server *server) close(ctx context.Context) {
	if err := server.httpServer.Shutdown(ctx); err != nil {
		_ = server.httpServer.Close()
	}
}

// newPlatformClient returns the HTTP client for the platform's service.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePlatformConns,
		ForceAttemptHTTP2:   true,
	}}
}

// newPeerClient returns the HTTP client for other proxies. Its HTTP/2 transport uses one
// connection to each of them.
func newPeerClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

// newTLSConfig returns a TLS configuration whose certificate is reloaded from its files,
// or nil if certFile is empty. onReloadError is called if a reload fails.
func newTLSConfig(certFile, keyFile string, onReloadError func(err error)) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	reloader, err := certs.New(certFile, keyFile, onReloadError)
	if err != nil {
		return nil, err
	}
	return reloader.Config(), nil
}
