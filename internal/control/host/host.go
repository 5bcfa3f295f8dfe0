// Package host wires one entry host: its parts, its three listeners and its planned stop.
package host

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"redwinglock/internal/control/catalog"
	"redwinglock/internal/control/member"
	"redwinglock/internal/entry/caller"
	"redwinglock/internal/entry/operator"
	"redwinglock/internal/fleet/engine"
	"redwinglock/internal/fleet/service"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/claims"
	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/settings"
)

const (
	startTimeout = 15 * time.Second
	// closeTimeout is the time for the parts to close after the last request has ended.
	closeTimeout = 30 * time.Second
	// memoryPart is the part of the memory of the host from which garbage is collected more
	// often. The rest is for what the runtime does not count.
	memoryPart = 2.0 / 3
	// callerMargin is added to the time for which callers keep the list of addresses.
	callerMargin    = time.Second
	metricsInterval = time.Second
)

// New returns the application of one entry host.
func New(s *settings.Settings) *fx.App {
	gin.SetMode(gin.ReleaseMode)
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Callers.AddressTTL+callerMargin+s.Stop.Limit+closeTimeout),
		fx.Supply(s),
		fx.Provide(
			newMetrics,
			newCommon,
			newBoard,
			newKV,
			newCatalog,
			newFollower,
			newMembers,
			newFrontServer,
			newArbiterClient,
			newEngines,
			newServices,
			newClaims,
			caller.New,
			newOperators,
		),
		fx.Invoke(run),
	)
}

// Run starts the host and waits for a signal, then stops it as planned. An interrupt
// during the stop ends it early.
func Run(s *settings.Settings) error {
	limitMemory(s)
	app := New(s)
	if err := app.Err(); err != nil {
		return fmt.Errorf("wire host: %w", err)
	}
	return runApp(app, func() {})
}

// limitMemory tells the runtime how much memory the host has.
func limitMemory(s *settings.Settings) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryPart))
	}
}

// runApp starts an application, waits for a signal and stops it. SIGHUP calls reload.
func runApp(app *fx.App, reload func()) error {
	// A signal that comes during the start must not end the process at once.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	for <-signals == syscall.SIGHUP {
		reload()
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	go cancelOnInterrupt(stopCtx, signals, cancelStop)
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop host: %w", err)
	}
	return nil
}

// cancelOnInterrupt cuts a planned stop short when somebody at a terminal asks for it. A
// platform may repeat its signal to stop; that changes nothing.
func cancelOnInterrupt(ctx context.Context, signals <-chan os.Signal, cancel func()) {
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGINT {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// metrics is the scope that parts write to and the page that shows it.
type metrics struct {
	fx.Out
	Scope   tally.Scope
	Handler http.Handler `name:"metrics"`
}

func newMetrics(lc fx.Lifecycle) metrics {
	reporter := promreporter.NewReporter(promreporter.Options{
		DefaultTimerType: promreporter.HistogramTimerType,
		OnRegisterError:  func(err error) { logrus.WithError(err).Warn("metrics: Metric not registered.") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "redwinglock",
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
		// The cardinality metrics of the library have names that Prometheus refuses.
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	lc.Append(fx.StopHook(closer.Close))
	return metrics{Scope: scope, Handler: reporter.HTTPHandler()}
}

func newCommon(lc fx.Lifecycle, s *settings.Settings, scope tally.Scope) *common.Common {
	c := common.New(s, scope)
	lc.Append(fx.StopHook(c.Close))
	return c
}

func newBoard(s *settings.Settings) *board.Board {
	callerURL := s.Callers.Advertise
	if s.Gateway != nil {
		callerURL = s.Gateway.Callers
	}
	return board.New(board.Member{
		Name:      s.Host,
		Zone:      s.Zone,
		Run:       wire.HostID(s.Host + "-" + rand.Text()[:8]),
		PeerURL:   s.Peers.Advertise,
		CallerURL: callerURL,
		Capacity:  s.Capacity,
	})
}

func newKV(lc fx.Lifecycle, s *settings.Settings) store.KV {
	kv := store.NewEtcd(s.Store.Endpoints, s.Store.Timeout)
	lc.Append(fx.StopHook(kv.Close))
	return kv
}

func newCatalog(s *settings.Settings, kv store.KV) *catalog.Catalog {
	return catalog.New(kv, s.Store.Prefix)
}

func newFollower(lc fx.Lifecycle, c *common.Common, b *board.Board, cat *catalog.Catalog) *catalog.Follower {
	f := catalog.NewFollower(c, b, cat)
	lc.Append(fx.StopHook(f.Close))
	return f
}

func newMembers(lc fx.Lifecycle, c *common.Common, b *board.Board, f *catalog.Follower) (*member.Controller, error) {
	config, err := clientTLS(c.Settings.Peers.TLS)
	if err != nil {
		return nil, err
	}
	lister := hosts.New(c.Settings.Hosts.URL)
	transport := &member.HTTPTransport{Client: http2.New(c.Settings.Peers.LinkTimeout, config), Key: c.Settings.Peers.Key}
	m := member.NewController(c, b, transport, lister, f)
	lc.Append(fx.StopHook(func() error { return errors.Join(m.Close(), lister.Close()) }))
	return m, nil
}

func newFrontServer(lc fx.Lifecycle, c *common.Common, b *board.Board) *front.Server {
	s := front.New(c, b)
	lc.Append(fx.StopHook(s.Close))
	return s
}

func newArbiterClient(lc fx.Lifecycle, c *common.Common, b *board.Board, local *front.Server) (*arbiter.Client, error) {
	config, err := clientTLS(c.Settings.Peers.TLS)
	if err != nil {
		return nil, err
	}
	client := arbiter.New(c, b, local, http2.New(c.Settings.Peers.LinkTimeout, config))
	lc.Append(fx.StopHook(client.Close))
	return client, nil
}

func newEngines(lc fx.Lifecycle, c *common.Common) *engine.Client {
	client := engine.New(func() { c.CountRetry("stream-resumed") })
	lc.Append(fx.StopHook(client.Close))
	return client
}

func newServices(lc fx.Lifecycle) *service.Client {
	client := service.New()
	lc.Append(fx.StopHook(client.Close))
	return client
}

func newClaims(lc fx.Lifecycle, s *settings.Settings, kv store.KV) *claims.Claims {
	c := claims.New(kv, s.Store.Prefix, s.Store.ClaimRetention)
	lc.Append(fx.StopHook(c.Close))
	return c
}

// operatorParams are the parts that the operators' server needs.
type operatorParams struct {
	fx.In
	Common   *common.Common
	Board    *board.Board
	Catalog  *catalog.Catalog
	Follower *catalog.Follower
	Callers  *caller.Server
	Metrics  http.Handler `name:"metrics"`
}

func newOperators(p operatorParams) *operator.Server {
	return operator.New(p.Common, p.Board, p.Catalog, p.Follower, p.Callers.Active, p.Metrics)
}

// entryHost is a running host.
type entryHost struct {
	common    *common.Common
	log       *logrus.Entry
	board     *board.Board
	members   *member.Controller
	callers   *caller.Server
	listeners []*listener
}

// run opens the listeners at the start and carries out the planned stop.
func run(lc fx.Lifecycle, c *common.Common, b *board.Board, members *member.Controller, follower *catalog.Follower,
	arbiters *front.Server, callers *caller.Server, operators *operator.Server,
) {
	p := &entryHost{common: c, log: c.Log("host"), board: b, members: members, callers: callers}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s := c.Settings
			callerServer := newServer(callers.Handler())
			callerServer.ReadTimeout = s.Callers.ReadTimeout
			callerServer.MaxHeaderBytes = s.Callers.MaxHeaderBytes
			err := errors.Join(
				p.open(s.Peers.Listen, s.Peers.TLS, newServer(serveConfig(peerHandler(c, arbiters, members), follower))),
				p.open(s.Operators.Listen, s.Operators.TLS, newServer(operators.Handler())),
				p.open(s.Callers.Listen, s.Callers.TLS, callerServer),
			)
			if err == nil {
				p.log.WithFields(logrus.Fields{"host": s.Host, "zone": s.Zone, "run": b.Members().Self.Run}).Info("Host started.")
			}
			return err
		},
		OnStop: p.stop,
	})
}

func (p *entryHost) open(address string, certificates *settings.TLS, server *http.Server) error {
	l, err := listen(address, certificates, server)
	if err != nil {
		return err
	}
	p.listeners = append(p.listeners, l)
	return nil
}

// stop withdraws the address, serves callers that still know it, then waits for the
// requests in flight. Peers take over the pools as soon as they learn of the stop.
func (p *entryHost) stop(ctx context.Context) error {
	p.log.Info("Stop began.")
	p.board.SetStopping()
	p.members.Leave(ctx)
	pause(ctx, p.common.Settings.Callers.AddressTTL+callerMargin)
	p.callers.CloseToNew()
	p.log.WithField("in-flight", p.callers.Active()).Info("No new requests are taken.")
	limit, cancel := context.WithTimeout(ctx, p.common.Settings.Stop.Limit)
	defer cancel()
	var errs []error
	// The callers' listener was opened last and must be empty before the others close.
	for i := len(p.listeners) - 1; i >= 0; i-- {
		if i < len(p.listeners)-1 {
			// The streams of peers do not end by themselves.
			brief, cancelBrief := context.WithTimeout(ctx, linkCloseTimeout)
			_ = p.listeners[i].shutdown(brief)
			cancelBrief()
			continue
		}
		errs = append(errs, p.listeners[i].shutdown(limit))
		errs = append(errs, p.callers.Close())
		p.log.Info("All requests have ended.")
	}
	return errors.Join(errs...)
}

// linkCloseTimeout is the time that peers have to move to another arbiter.
const linkCloseTimeout = 2 * time.Second

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
