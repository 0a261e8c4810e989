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
	// peerTimeout bounds a message to another proxy.
	peerTimeout = time.Second
	// maxIdlePlatformConns is the number of idle connections kept to the platform.
	maxIdlePlatformConns = 16
	// adminCloseTimeout is the time that calls of operators may take to end.
	adminCloseTimeout = 200 * time.Millisecond
)

// adapters are the adapters of a process and what they listen on.
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
	edges := &adapters{
		store: store.New(settings.Platform(), newPlatformClient(), proxy.loop, settings.Kernel().StoreTimeout()),
		peers: peers.New(newPeerClient(), proxy.loop, peerTimeout),
	}
	var err error
	edges.callers, err = front.New(front.Spec{
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
	edges.backend, err = back.New(back.Spec{MaxAnswer: settings.MaxAnswerBytes()}, proxy.loop)
	if err != nil {
		return nil, err
	}
	peerPath, peerHandler := edges.peers.Handler()
	peerMux := http.NewServeMux()
	peerMux.Handle(peerPath, peerHandler)
	edges.peerServer = newServer(settings.PeerListen(), peerMux, nil)
	return edges, edges.addAdmin(proxy)
}

// addAdmin makes the administration API with its tokens and its certificate.
func (edges *adapters) addAdmin(proxy *Proxy) error {
	settings := proxy.config
	report := func(err error) { proxy.log.Logger().WithError(err).Error("reload failed") }
	address, err := netip.ParseAddrPort(settings.AdminListen())
	if err != nil {
		return errors.Wrap(err, "parse administration address")
	}
	tokens, err := admin.NewTokens(settings.ReaderTokensFile(), settings.OperatorTokensFile(), address.Addr().IsLoopback(), report)
	if err != nil {
		return err
	}
	edges.admin = admin.New(admin.Spec{
		Proxy:     proxy.id,
		Version:   proxy.version,
		Started:   proxy.started,
		Settings:  settingMessages(settings),
		Tokens:    tokens,
		Inspector: proxy.loop,
		Logging:   proxy.log,
		Drain:     proxy.Drain,
	}, proxy.loop)
	encryption, err := newTLSConfig(settings.AdminTLSCert(), settings.AdminTLSKey(), report)
	if err != nil {
		return err
	}
	edges.adminServer = newServer(settings.AdminListen(), newAdminMux(proxy, edges), encryption)
	return nil
}

// ports returns the adapters as the kernel's loop needs them.
func (edges *adapters) ports(proxy *Proxy) daemon.Ports {
	return daemon.Ports{
		Callers:     edges.callers,
		Backend:     metric.NewBackend(proxy.registry, edges.backend),
		Platform:    metric.NewPlatform(proxy.registry, edges.store),
		Peers:       metric.NewPeers(proxy.registry, edges.peers),
		Operators:   edges.admin,
		DecisionLog: proxy.decisionLog,
		Process:     proxy,
	}
}

// start listens on all addresses.
func (edges *adapters) start() error {
	if err := edges.adminServer.start(); err != nil {
		return err
	}
	if err := edges.peerServer.start(); err != nil {
		return err
	}
	return edges.callers.Start()
}

// stopCallers waits until every caller has its last answer and is gone, up to a limit.
func (edges *adapters) stopCallers(limit time.Duration) {
	edges.callers.Stop()
	for end := time.Now().Add(limit); edges.callers.Count() > 0 && time.Now().Before(end); {
		time.Sleep(callerPollInterval)
	}
}

// close ends all connections.
func (edges *adapters) close() {
	edges.callers.Shutdown()
	edges.backend.Shutdown()
	ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
	defer cancel()
	edges.adminServer.close(ctx)
	_ = edges.peerServer.httpServer.Close() // messages of peers may be lost
}

func settingMessages(settings *config.Config) []*admpb.Setting {
	var messages []*admpb.Setting
	for _, setting := range settings.Settings() {
		messages = append(messages, &admpb.Setting{Flag: setting.Flag(), Env: setting.Env(), Value: setting.Value()})
	}
	return messages
}
