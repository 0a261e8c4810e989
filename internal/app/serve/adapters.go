package serve

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/app/daemon"
	"almondway.dev/almondway/internal/app/metric"
	"almondway.dev/almondway/internal/edge/admin"
	"almondway.dev/almondway/internal/edge/back"
	"almondway.dev/almondway/internal/edge/front"
	"almondway.dev/almondway/internal/edge/peers"
	"almondway.dev/almondway/internal/edge/store"
	"almondway.dev/almondway/internal/proto/admpb"
)

const (
	// peerTimeout limits the duration of a message to another proxy.
	peerTimeout = time.Second
	// maxIdlePlatformConns is the maximum number of idle connections to the platform.
	maxIdlePlatformConns = 16
	// adminCloseTimeout is the time that operators' calls have to finish at shutdown.
	adminCloseTimeout = 200 * time.Millisecond
)

// adapters are the adapters of a process and its HTTP servers.
type adapters struct {
	callers *front.Server
	backend *back.Backend
	store   *store.Store
	peers   *peers.Peers
	admin   *admin.Admin

	peerServer  *server
	adminServer *server
}

func newAdapters(proxy *Proxy) (*adapters, error) {
	settings := proxy.config
	adapters := &adapters{
		store: store.New(settings.Platform(), newPlatformClient(), proxy.loop, settings.Kernel().StoreTimeout()),
		peers: peers.New(newPeerClient(), proxy.loop, peerTimeout),
	}
	var err error
	adapters.callers, err = front.New(front.Spec{
		Address:         settings.Listen(),
		CertFile:        settings.TLSCert(),
		KeyFile:         settings.TLSKey(),
		MaxCallers:      settings.MaxCallers(),
		MaxMessageBytes: settings.MaxMessageBytes(),
		StartupTimeout:  settings.StartupTimeout(),
	}, proxy.loop, proxy.log.Logger())
	if err != nil {
		return nil, err
	}
	adapters.backend, err = back.New(back.Spec{MaxAnswerBytes: settings.MaxAnswerBytes()}, proxy.loop)
	if err != nil {
		return nil, err
	}
	peerPath, peerHandler := adapters.peers.Handler()
	peerMux := http.NewServeMux()
	peerMux.Handle(peerPath, peerHandler)
	adapters.peerServer = newServer(settings.PeerListen(), peerMux, nil)
	return adapters, adapters.addAdmin(proxy)
}

// addAdmin adds the administration API with its tokens and its TLS certificate.
func (adapters *adapters) addAdmin(proxy *Proxy) error {
	settings := proxy.config
	logReloadError := func(err error) { proxy.log.Logger().WithError(err).Error("reload failed") }
	address, err := netip.ParseAddrPort(settings.AdminListen())
	if err != nil {
		return errors.Wrap(err, "parse administration address")
	}
	tokens, err := admin.NewTokens(settings.ReaderTokensFile(), settings.OperatorTokensFile(), address.Addr().IsLoopback(), logReloadError)
	if err != nil {
		return err
	}
	adapters.admin = admin.New(admin.Spec{
		Proxy:     proxy.id,
		Version:   proxy.version,
		Started:   proxy.started,
		Settings:  settingMessages(settings),
		Tokens:    tokens,
		Inspector: proxy.loop,
		Logging:   proxy.log,
		Drain:     proxy.Drain,
	}, proxy.loop)
	tlsConfig, err := newTLSConfig(settings.AdminTLSCert(), settings.AdminTLSKey(), logReloadError)
	if err != nil {
		return err
	}
	adapters.adminServer = newServer(settings.AdminListen(), newAdminMux(proxy, adapters), tlsConfig)
	return nil
}

// ports returns the adapters as the ports of the kernel's loop. The ports of instances,
// platform and peers also count their actions.
func (adapters *adapters) ports(proxy *Proxy) daemon.Ports {
	return daemon.Ports{
		Callers:     adapters.callers,
		Backend:     metric.NewBackend(proxy.registry, adapters.backend),
		Platform:    metric.NewPlatform(proxy.registry, adapters.store),
		Peers:       metric.NewPeers(proxy.registry, adapters.peers),
		Operators:   adapters.admin,
		DecisionLog: proxy.decisionLog,
		Process:     proxy,
	}
}

// start starts to listen on all addresses.
func (adapters *adapters) start() error {
	if err := adapters.adminServer.start(); err != nil {
		return err
	}
	if err := adapters.peerServer.start(); err != nil {
		return err
	}
	return adapters.callers.Start()
}

// stopCallers stops accepting callers, disconnects each caller after its last answer and waits
// until all are gone, but not longer than the limit.
func (adapters *adapters) stopCallers(limit time.Duration) {
	adapters.callers.Stop()
	adapters.callers.CloseAll()
	for end := time.Now().Add(limit); adapters.callers.Count() > 0 && time.Now().Before(end); {
		time.Sleep(callerPollInterval)
	}
}

// close closes all connections.
func (adapters *adapters) close() {
	adapters.callers.Shutdown()
	adapters.backend.Shutdown()
	ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
	defer cancel()
	adapters.adminServer.close(ctx)
	_ = adapters.peerServer.httpServer.Close() // messages from peers may be lost
}

func settingMessages(settings *config.Config) []*admpb.Setting {
	var messages []*admpb.Setting
	for _, setting := range settings.Settings() {
		messages = append(messages, &admpb.Setting{Flag: setting.Flag(), Env: setting.Env(), Value: setting.Value()})
	}
	return messages
}
