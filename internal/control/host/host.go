// Package host assembles the process of an entry host or a gateway host, opens its listeners and
// shuts it down gracefully.
package host

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
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
	"redwinglock/internal/peer/body"
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
	// closeTimeout is the time for the components to close after the last request has ended.
	closeTimeout = 30 * time.Second
	// memoryLimitFraction is the fraction of the host's memory that is set as the memory limit of
	// the Go runtime, which collects garbage more often near the limit. The rest is for memory that
	// the runtime does not count.
	memoryLimitFraction = 2.0 / 3
	// addressTTLMargin is added to the time for which callers cache the list of addresses.
	addressTTLMargin      = time.Second
	metricsReportInterval = time.Second
)

// New returns the application of one entry host.
func New(s *settings.Settings) *fx.App {
	gin.SetMode(gin.ReleaseMode)
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Callers.AddressTTL+addressTTLMargin+s.Stop.Limit+closeTimeout),
		fx.Supply(s),
		fx.Provide(
			newMetrics,
			newCommon,
			newBoard,
			newKV,
			newCatalog,
			newFollower,
			newMembership,
			newFrontServer,
			newArbiterClient,
			newEngineClient,
			newServiceClient,
			newClaims,
			caller.New,
			newOperatorServer,
		),
		fx.Invoke(runEntryHost),
	)
}

// Run starts the host, waits for a signal and shuts the host down gracefully. An interrupt during
// the shutdown ends it early.
func Run(s *settings.Settings, signals *Signals) error {
	limitMemory(s)
	app := New(s)
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble host: %w", err)
	}
	return runApp(app, signals, func() {})
}

// limitMemory sets the memory limit of the Go runtime if the memory of the host is configured.
func limitMemory(s *settings.Settings) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryLimitFraction))
	}
}

// runApp starts an application, waits for a signal and stops it. It calls onHangup for each SIGHUP.
func runApp(app *fx.App, signals *Signals, onHangup func()) error {
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	signals.awaitStop(onHangup)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	go cancelOnInterrupt(stopCtx, signals.stop, cancelStop)
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop host: %w", err)
	}
	return nil
}

// metrics contains the scope to which components report and the handler that exposes it.
type metrics struct {
	fx.Out
	Scope   tally.Scope
	Handler http.Handler `name:"metrics"`
}

func newMetrics(lc fx.Lifecycle) metrics {
	reporter := promreporter.NewReporter(promreporter.Options{
		DefaultTimerType: promreporter.HistogramTimerType,
		OnRegisterError:  func(err error) { logrus.WithError(err).Warn("metrics: Failed to register a metric.") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "redwinglock",
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
		// The library's cardinality metrics have names that Prometheus rejects.
		OmitCardinalityMetrics: true,
	}, metricsReportInterval)
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
		LinkMbps:  float64(s.LinkMbps),
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

func newMembership(lc fx.Lifecycle, c *common.Common, b *board.Board, f *catalog.Follower) (*member.Controller, error) {
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

// answersMemoryFraction is the fraction of the memory of the host that the answers of targets may use, for each kind of
// target.
const answersMemoryFraction = 1.0 / 8

func newEngineClient(lc fx.Lifecycle, c *common.Common) *engine.Client {
	client := engine.New(body.NewBudget(c.Settings.MemoryMB, answersMemoryFraction), func() { c.CountRetry("stream-resumed") })
	lc.Append(fx.StopHook(client.Close))
	return client
}

func newServiceClient(lc fx.Lifecycle, c *common.Common) *service.Client {
	client := service.New(body.NewBudget(c.Settings.MemoryMB, answersMemoryFraction))
	lc.Append(fx.StopHook(client.Close))
	return client
}

func newClaims(lc fx.Lifecycle, s *settings.Settings, kv store.KV) *claims.Claims {
	c := claims.New(kv, s.Store.Prefix, s.Store.ClaimRetention)
	lc.Append(fx.StopHook(c.Close))
	return c
}

// operatorParams are the dependencies of the operators' server.
type operatorParams struct {
	fx.In
	Common   *common.Common
	Board    *board.Board
	Catalog  *catalog.Catalog
	Follower *catalog.Follower
	Callers  *caller.Server
	Metrics  http.Handler `name:"metrics"`
}

func newOperatorServer(p operatorParams) *operator.Server {
	return operator.New(p.Common, p.Board, p.Catalog, p.Follower, p.Callers.Active, p.Metrics)
}

// entryHost is a running entry host.
type entryHost struct {
	common    *common.Common
	log       *logrus.Entry
	board     *board.Board
	members   *member.Controller
	callers   *caller.Server
	listeners []*listener
}

// runEntryHost registers the hooks that open the listeners and shut the host down.
func runEntryHost(lc fx.Lifecycle, c *common.Common, b *board.Board, members *member.Controller, follower *catalog.Follower,
	arbiters *front.Server, callers *caller.Server, operators *operator.Server,
) {
	h := &entryHost{common: c, log: c.Log("host"), board: b, members: members, callers: callers}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s := c.Settings
			callerServer := newServer(callers.Handler())
			callerServer.ReadTimeout = s.Callers.ReadTimeout
			callerServer.MaxHeaderBytes = s.Callers.MaxHeaderBytes
			err := errors.Join(
				h.open(s.Peers.Listen, s.Peers.TLS, newServer(serveConfig(peerHandler(c, arbiters, members), follower))),
				h.open(s.Operators.Listen, s.Operators.TLS, newServer(operators.Handler())),
				h.open(s.Callers.Listen, s.Callers.TLS, callerServer),
			)
			if err == nil {
				h.log.WithFields(logrus.Fields{"host": s.Host, "zone": s.Zone, "run": b.Members().Self.Run}).Info("Host started.")
			}
			return err
		},
		OnStop: h.stop,
	})
}

func (h *entryHost) open(address string, certificates *settings.TLS, server *http.Server) error {
	l, err := listen(address, certificates, server)
	if err != nil {
		return err
	}
	h.listeners = append(h.listeners, l)
	return nil
}

// stop shuts the host down gracefully. It announces the stop, serves callers until their cached
// addresses have expired, then rejects new requests and waits for the requests in flight. Peers
// take over the pools as soon as the announcement reaches them.
func (h *entryHost) stop(ctx context.Context) error {
	h.log.Info("Stop began.")
	h.board.SetStopping()
	h.members.Leave(ctx)
	sleep(ctx, h.common.Settings.Callers.AddressTTL+addressTTLMargin)
	h.callers.CloseToNew()
	h.log.WithField("in-flight", h.callers.Active()).Info("No longer accepting new requests.")
	requestsCtx, cancel := context.WithTimeout(ctx, h.common.Settings.Stop.Limit)
	defer cancel()
	var errs []error
	// The callers' listener was opened last. Its requests must end before the others close.
	for i := len(h.listeners) - 1; i >= 0; i-- {
		if i < len(h.listeners)-1 {
			// The streams of peers do not end by themselves.
			closeCtx, cancelClose := context.WithTimeout(ctx, linkCloseTimeout)
			_ = h.listeners[i].shutdown(closeCtx)
			cancelClose()
			continue
		}
		errs = append(errs, h.listeners[i].shutdown(requestsCtx))
		errs = append(errs, h.callers.Close())
		h.log.Info("All requests have ended.")
	}
	return errors.Join(errs...)
}

// linkCloseTimeout is the time that peers have to switch to another arbiter.
const linkCloseTimeout = 2 * time.Second

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
