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
	"redwinglock/internal/control/heldprefix"
	"redwinglock/internal/control/member"
	"redwinglock/internal/control/quotaburst"
	"redwinglock/internal/control/rollout"
	"redwinglock/internal/control/streamorigin"
	"redwinglock/internal/entry/gateway"
	"redwinglock/internal/entry/heads"
	"redwinglock/internal/fleet/passthrough"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/settings"
)

const (
	// callerIdleTimeout must exceed the time for which callers keep idle connections for reuse.
	callerIdleTimeout = 60 * time.Second
	// callerHeaderTimeout is the time that a caller has to send the header of a request.
	callerHeaderTimeout = 10 * time.Second
	// leaveTimeout bounds the time to announce a stop to peers.
	leaveTimeout = time.Second
	// finalAnswerTime is the time before the end of a stop at which the requests that are left are answered.
	finalAnswerTime = 300 * time.Millisecond
	metricsPath     = "/metrics"
)

// RunGateway starts a gateway host, which forwards requests, then waits for a signal and shuts the
// host down gracefully. loadSettings reads the settings; it is called for each SIGHUP.
func RunGateway(s *settings.Settings, loadSettings func() (*settings.Settings, error), tree store.Tree, translator discovery.Translator, dialect gateway.Dialect, signals *Signals) error {
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
			newHeldPrefixes,
			newStreamOrigins,
			newQuotaBursts,
			newGatewayMembership,
			newFrontServer,
			newArbiterClient,
			newPassthrough,
			gateway.New,
		),
		fx.Invoke(runGateway),
		fx.Populate(&c),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble host: %w", err)
	}
	return runApp(app, signals, func() { checkSettings(c, loadSettings) })
}

// checkSettings reads the settings again and logs whether they are valid and have changed. Changes
// take effect only at the next start.
func checkSettings(c *common.Common, loadSettings func() (*settings.Settings, error)) {
	log := c.Log("host")
	next, err := loadSettings()
	if err != nil {
		log.WithError(err).Error("Settings are invalid; the current settings stay active.")
		return
	}
	log.WithField("changed", !reflect.DeepEqual(next, c.Settings)).Info("Settings checked; changes take effect at the next start.")
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

func newHeldPrefixes(lc fx.Lifecycle, c *common.Common, b *board.Board, tree store.Tree) *heldprefix.Controller {
	r := heldprefix.New(c, b, tree)
	lc.Append(fx.StopHook(r.Close))
	return r
}

func newStreamOrigins(lc fx.Lifecycle, c *common.Common, b *board.Board, tree store.Tree) *streamorigin.Controller {
	r := streamorigin.New(c, b, tree)
	lc.Append(fx.StopHook(r.Close))
	return r
}

func newQuotaBursts(lc fx.Lifecycle, c *common.Common, b *board.Board, tree store.Tree, arbiter *front.Server) *quotaburst.Controller {
	r := quotaburst.New(c, b, tree, arbiter)
	lc.Append(fx.StopHook(r.Close))
	return r
}

func newGatewayMembership(lc fx.Lifecycle, c *common.Common, b *board.Board, d *discovery.Controller, l *discovery.HostList) *member.Controller {
	transport := &member.HTTPTransport{Client: http2.New(c.Settings.Peers.LinkTimeout, nil), Key: c.Settings.Peers.Key}
	m := member.NewController(c, b, transport, l, d)
	lc.Append(fx.StopHook(m.Close))
	return m
}

func newPassthrough(lc fx.Lifecycle, c *common.Common) *passthrough.Client {
	client := passthrough.New(passthrough.WithMetrics(c.Metrics))
	lc.Append(fx.StopHook(client.Close))
	return client
}

// gatewayParams are the dependencies of a gateway host.
type gatewayParams struct {
	fx.In
	Common    *common.Common
	Board     *board.Board
	Members   *member.Controller
	Discovery *discovery.Controller
	HostList  *discovery.HostList
	Rollouts  *rollout.Controller
	Prefixes  *heldprefix.Controller
	Origins   *streamorigin.Controller
	Bursts    *quotaburst.Controller
	Arbiters  *front.Server
	Gateway   *gateway.Server
	Metrics   http.Handler `name:"metrics"`
}

// gatewayHost is a running gateway host.
type gatewayHost struct {
	gatewayParams
	log            *logrus.Entry
	callerListener *listener
	otherListeners []*listener
}

// runGateway registers the hooks that open the listeners and shut the host down.
func runGateway(lc fx.Lifecycle, p gatewayParams) {
	h := &gatewayHost{gatewayParams: p, log: p.Common.Log("host")}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return h.start() },
		OnStop:  h.stop,
	})
}

func (h *gatewayHost) start() error {
	s := h.Common.Settings
	peers := newServer(serveItems(peerHandler(h.Common, h.Arbiters, h.Members), h.Discovery))
	l, err := listen(s.Peers.Listen, nil, peers)
	if err != nil {
		return err
	}
	h.otherListeners = append(h.otherListeners, l)
	guard := heads.NewGuard(h.Common, s.Gateway.MaxHeaderBytes, callerHeaderTimeout)
	maxConnections := heads.MaxConnections(s.MemoryMB)
	for _, o := range h.otherCallerServers() {
		l, err := listenToCallers(guard, o, max(maxConnections/otherConnectionsDivisor, minOtherConnections))
		if err != nil {
			return err
		}
		h.otherListeners = append(h.otherListeners, l)
	}
	callers := callerServer{"callers", s.Gateway.Callers, h.Gateway.Handler()}
	if h.callerListener, err = listenToCallers(guard, callers, maxConnections); err != nil {
		return err
	}
	h.log.WithFields(logrus.Fields{"host": s.Host, "zone": s.Zone, "run": h.Board.Members().Self.Run}).Info("Host started.")
	return nil
}

// callerServer is a server for callers that are not trusted.
type callerServer struct {
	name, address string
	handler       http.Handler
}

const (
	// otherConnectionsDivisor is by how much fewer connections the listeners beside that of the callers may have.
	otherConnectionsDivisor = 8
	// minOtherConnections leaves some for the platform and its checks on small hosts.
	minOtherConnections = 64
)

// otherCallerServers returns the servers that share the budget of heads with that of the callers.
func (h *gatewayHost) otherCallerServers() []callerServer {
	s := h.Common.Settings.Gateway
	servers := []callerServer{
		{"readiness", s.Readiness, h.Gateway.ReadinessHandler()},
		{"directory", s.Directory, h.Gateway.DirectoryHandler()},
	}
	if s.Metrics == "" {
		return servers
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, h.Metrics)
	mux.Handle(gateway.PrefixesPath, h.Gateway.PrefixesHandler())
	mux.Handle(gateway.ReleasePrefixPath, h.Gateway.PrefixesHandler())
	return append(servers, callerServer{"metrics", s.Metrics, mux})
}

// listenToCallers opens a listener whose connections are bounded in number and whose heads count against the guard.
func listenToCallers(guard *heads.Guard, s callerServer, maxConnections int) (*listener, error) {
	socket, err := openSocket(s.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           s.handler,
		ConnContext:       gateway.WithConnection,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	return serve(guard.Protect(s.name, server, socket, maxConnections), server), nil
}

// stop shuts the host down gracefully. It withdraws the address and hands the pools over, serves
// callers that still use the address for some time, then waits for the requests in flight.
func (h *gatewayHost) stop(ctx context.Context) error {
	h.log.WithFields(h.requestFields()).Info("Stop began.")
	clock := newStopClock(sinceBoot)
	settings := h.Common.Settings
	totalLimit := settings.Gateway.StopServe + settings.Stop.Limit
	schedule := gateway.StopSchedule{
		ServeStreams: settings.Gateway.StopServeLong,
		ServeCalls:   settings.Gateway.StopServe,
		AnswersEnd:   totalLimit - finalAnswerTime,
	}
	h.Gateway.BeginStop(schedule, clock.age)
	h.Board.SetStopping()
	var leaving sync.WaitGroup
	leaving.Go(func() {
		leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		h.Members.Leave(leaveCtx)
	})
	var listErr error
	leaving.Go(func() {
		listErr = h.HostList.Close()
		clock.wait(ctx, settings.Gateway.StopServe)
		h.HostList.Leave() // Hosts that stop at the same time may have left since.
	})
	clock.wait(ctx, settings.Gateway.StopServe)
	answersCtx, cancelAnswers := clock.withTimeout(ctx, schedule.AnswersEnd)
	defer cancelAnswers()
	defer context.AfterFunc(answersCtx, h.Gateway.EndRequests)()
	requestsCtx, cancel := clock.withTimeout(ctx, totalLimit)
	defer cancel()
	errs := []error{h.shutdownCallers(requestsCtx), h.Gateway.Close()}
	leaving.Wait()
	h.log.WithField("left-of-limit", clock.remaining(totalLimit).String()).Info("All requests have ended.")
	errs = append(errs, listErr, h.closeOtherListeners(ctx))
	return errors.Join(errs...)
}

// shutdownCallers waits for the requests in flight until ctx is done. Connections on which all requests have been
// answered by then are closed without an error.
func (h *gatewayHost) shutdownCallers(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() {
		h.log.WithFields(h.requestFields()).Info("Limit of the stop reached: the connections that are left are closed.")
	})()
	err := h.callerListener.shutdown(ctx)
	if errors.Is(err, context.Canceled) && h.Gateway.Active() == 0 {
		return nil
	}
	return err
}

// requestFields returns what the log says of the requests in flight and of what they may wait for.
func (h *gatewayHost) requestFields() logrus.Fields {
	return logrus.Fields{
		"in-flight": h.Gateway.Active(), "awaiting-start": h.Gateway.AwaitingStart(), "joined": h.Board.HasJoined(),
		"configured": h.Board.Config() != nil, "live": len(h.Board.Members().Live),
	}
}

// closeOtherListeners closes the listeners for peers and the platform in parallel.
func (h *gatewayHost) closeOtherListeners(ctx context.Context) error {
	// The streams of peers do not end by themselves.
	closeCtx, cancel := context.WithTimeout(ctx, otherCloseTimeout)
	defer cancel()
	errs := make([]error, len(h.otherListeners))
	var closing sync.WaitGroup
	for n, l := range h.otherListeners {
		closing.Go(func() {
			if err := l.shutdown(closeCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
				errs[n] = err
			}
		})
	}
	closing.Wait()
	return errors.Join(errs...)
}

// otherCloseTimeout is the time that peers and the platform have to end their calls.
const otherCloseTimeout = 100 * time.Millisecond
