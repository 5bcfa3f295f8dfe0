package heads

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"redwinglock/internal/state/common"
)

const (
	// connectionsFraction is the fraction of the memory of the host that connections without requests may use.
	connectionsFraction = 1.0 / 8
	// connectionBytes is the memory of an idle connection: its goroutine and the buffers of net/http. 2,000 idle
	// connections were measured at 11 KiB each.
	connectionBytes = 16 << 10
)

// MaxConnections returns how many connections the callers of a host with the given memory in MiB may keep open.
func MaxConnections(memoryMB int64) int {
	return int(float64(memoryBytes(memoryMB)) * connectionsFraction / connectionBytes)
}

// Guard bounds the heads of all connections of a host.
type Guard struct {
	budget *budget
	// maxBytes bounds a single head.
	maxBytes int
	// headTimeout is the time for a whole head, from its first byte.
	headTimeout time.Duration
	metrics     tally.Scope
	log         *logrus.Entry
	logs        common.RateLimit
}

// NewGuard creates the guard of a host.
func NewGuard(c *common.Common, maxBytes int, headTimeout time.Duration) *Guard {
	return &Guard{
		budget: newBudget(c.Settings.MemoryMB), maxBytes: maxBytes, headTimeout: headTimeout,
		metrics: c.Metrics, log: c.Log("heads"), logs: common.RateLimit{Limit: logsPerSecond},
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Protect makes a server, which must not have started, follow the requests of its connections, and returns the
// listener to serve. name appears in the log.
func (g *Guard) Protect(name string, server *http.Server, socket net.Listener, maxConnections int) net.Listener {
	handler, connContext := server.Handler, server.ConnContext
	server.MaxHeaderBytes = g.maxBytes
	server.DisableGeneralOptionsHandler = true // It would read the body of OPTIONS * before beginBody.
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connKey{}).(*conn).beginBody(r)
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, accepted net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, accepted)
		}
		return context.WithValue(ctx, connKey{}, accepted)
	}
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			accepted.(*conn).endRequest()
		}
	}
	return &listener{Listener: socket, guard: g, name: name, maxConnections: maxConnections}
}
