package host

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"redwinglock/internal/control/discovery"
	"redwinglock/internal/control/member"
	"redwinglock/internal/control/rollout"
	"redwinglock/internal/entry/gateway"
	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/settings"
)

const (
	// callerIdleTimeout is longer than callers keep idle connections for reuse.
	callerIdleTimeout = 60 * time.Second
	// callerHeaderTimeout bounds the time to send the header of a request.
	callerHeaderTimeout = 10 * time.Second
	maxCallerHeader     = 64 << 10
	// leaveTimeout bounds the time to tell peers and the store of a stop.
	leaveTimeout = time.Second
	metricsPath  = "/metrics"
)

// RunGateway starts a host that passes requests on, waits for a signal and stops it. load
// reads the settings again on SIGHUP.
func RunGateway(s *settings.Settings, load func() (*settings.Settings, error), tree store.Tree, translator discovery.Translator, dialect gateway.Dialect) error {
	gin.SetMode(gin.ReleaseMode)
	limitMemory(s)
	var c *common.Common
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Gateway.StopServe+s.Stop.Limit+closeTimeout),
		fx.Supply(s),
		fx.Provide(
			func() store.Tree { return tree },
			func() discovery.Translator { return translator },
			func() gateway.Dialect { return dialect },
			newMetrics,
			newCommon,
			newBoard,
			newDiscovery,
			newHostList,
			newRollouts,
			newGatewayMembers,
			newFrontServer,
			newArbiterClient,
			newPassthrough,
			gateway.New,
		),
		fx.Invoke(runGateway),
		fx.Populate(&c),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("wire host: %w", err)
	}
	return runApp(app, func() { reload(c, load) })
}

// reload checks the settings file again. Settings take effect at the next start; what is
// wrong or waits for it is told now.
func reload(c *common.Common, load func() (*settings.Settings, error)) {
	log := c.Log("host")
	next, err := load()
	if err != nil {
		log.WithError(err).Error("Settings are wrong, those in force stay.")
		return
	}
	log.WithField("changed", !reflect.DeepEqual(next, c.Settings)).Info("Settings read again, changes wait for the next start.")
}

func newDiscovery(lc fx.Lifecycle, c *common.Common, b *board.Board, tree store.Tree, t discovery.Translator) *discovery.Controller {
	d := discovery.New(c, b, tree, t, http2.New(c.Settings.Peers.LinkTimeout, nil))
	lc.Append(fx.StopHook(d.Close))
	return d
}

func newHostList(lc fx.Lifecycle, c *common.Common, b *board.Board, tree store.Tree) *discovery.HostList {
	l := discovery.NewHostList(c, b, tree)
	lc.Append(fx.StopHook(l.Close))
	return l
}

func newRollouts(lc fx.Lifecycle, c *common.Common, b *board.Board, tree store.Tree, t discovery.Translator, arbiter *front.Server) *rollout.Controller {
	r := rollout.New(c, b, tree, t, arbiter)
	lc.Append(fx.StopHook(r.Close))
	return r
}

func newGatewayMembers(lc fx.Lifecycle, c *common.Common, b *board.Board, d *discovery.Controller, l *discovery.HostList) *member.Controller {
	transport := &member.HTTPTransport{Client: http2.New(c.Settings.Peers.LinkTimeout, nil), Key: c.Settings.Peers.Key}
	m := member.NewController(c, b, transport, l, d)
	lc.Append(fx.StopHook(m.Close))
	return m
}

func newPassthrough(lc fx.Lifecycle) *passthrough.Client {
	client := passthrough.New()
	lc.Append(fx.StopHook(client.Close))
	return client
}

// gatewayParams are the parts of a running gateway host.
type gatewayParams struct {
	fx.In
	Common    *common.Common
	Board     *board.Board
	Members   *member.Controller
	Discovery *discovery.Controller
	HostList  *discovery.HostList
	Rollouts  *rollout.Controller
	Arbiters  *front.Server
	Gateway   *gateway.Server
	Metrics   http.Handler `name:"metrics"`
}

// gatewayHost is a running host.
type gatewayHost struct {
	gatewayParams
	log     *logrus.Entry
	callers *listener
	others  []*listener
}

// runGateway opens the listeners at the start and carries out the planned stop.
func runGateway(lc fx.Lifecycle, p gatewayParams) {
	h := &gatewayHost{gatewayParams: p, log: p.Common.Log("host")}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return h.start() },
		OnStop:  h.stop,
	})
}

func (h *gatewayHost) start() error {
	s := h.Common.Settings
	others := []struct {
		address string
		server  *http.Server
	}{
		{s.Peers.Listen, newServer(serveItems(peerHandler(h.Common, h.Arbiters, h.Members), h.Discovery))},
		{s.Gateway.Readiness, newCallerServer(h.Gateway.ReadinessHandler())},
		{s.Gateway.Directory, newCallerServer(h.Gateway.DirectoryHandler())},
	}
	for _, o := range others {
		l, err := listen(o.address, nil, o.server)
		if err != nil {
			return err
		}
		h.others = append(h.others, l)
	}
	if s.Gateway.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle(metricsPath, h.Metrics)
		l, err := listen(s.Gateway.Metrics, nil, newCallerServer(mux))
		if err != nil {
			return err
		}
		h.others = append(h.others, l)
	}
	l, err := listen(s.Gateway.Callers, nil, newCallerServer(h.Gateway.Handler()))
	if err != nil {
		return err
	}
	h.callers = l
	h.log.WithFields(logrus.Fields{"host": s.Host, "zone": s.Zone, "run": h.Board.Members().Self.Run}).Info("Host started.")
	return nil
}

func newCallerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxCallerHeader,
	}
}

// stop withdraws the address and hands the pools over, serves callers that still know the
// address for a while, then waits for the requests in flight.
func (h *gatewayHost) stop(ctx context.Context) error {
	h.log.WithField("in-flight", h.Gateway.Active()).Info("Stop began.")
	clock := newStopClock(sinceBoot)
	h.Board.SetStopping()
	var leaving sync.WaitGroup
	leaving.Go(func() {
		leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		h.Members.Leave(leaveCtx)
	})
	var listErr error
	leaving.Go(func() { listErr = h.HostList.Close() })
	settings := h.Common.Settings
	whole := settings.Gateway.StopServe + settings.Stop.Limit
	clock.wait(ctx, settings.Gateway.StopServeLong)
	h.Gateway.CloseToLongStreams(time.Now().Add(clock.left(whole)))
	clock.wait(ctx, settings.Gateway.StopServe)
	limit, cancel := clock.bound(ctx, whole)
	defer cancel()
	errs := []error{h.callers.shutdown(limit), h.Gateway.Close()}
	leaving.Wait()
	h.log.WithField("left-of-limit", clock.left(whole).String()).Info("All requests have ended.")
	errs = append(errs, listErr, h.closeOthers(ctx))
	return errors.Join(errs...)
}

// closeOthers closes the listeners for peers and the platform, all at once.
func (h *gatewayHost) closeOthers(ctx context.Context) error {
	// The streams of peers do not end by themselves.
	brief, cancel := context.WithTimeout(ctx, otherCloseTimeout)
	defer cancel()
	errs := make([]error, len(h.others))
	var closing sync.WaitGroup
	for n, l := range h.others {
		closing.Go(func() {
			if err := l.shutdown(brief); err != nil && !errors.Is(err, context.DeadlineExceeded) {
				errs[n] = err
			}
		})
	}
	closing.Wait()
	return errors.Join(errs...)
}

// otherCloseTimeout is the time for peers and the platform to end their calls.
const otherCloseTimeout = 100 * time.Millisecond
