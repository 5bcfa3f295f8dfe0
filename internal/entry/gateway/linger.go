package gateway

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

// WithConnection is the ConnContext of servers for callers. It lets a broken answer reset its connection.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// lingerer is a connection of which the behavior on close can be set, as that of net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

const (
	// lingerReset resets a connection when it is closed.
	lingerReset = 0
	// lingerDefault sends what is left before a connection is closed.
	lingerDefault = -1
)

// setLinger sets what happens when the connection of a caller is closed, also by the end of this process. It
// concerns callers before HTTP/1.1 only: without chunks, an orderly close is the end of a whole answer.
func (s *Server) setLinger(request *http.Request, seconds int) {
	if request.ProtoAtLeast(1, 1) {
		return
	}
	connection, ok := request.Context().Value(connectionKey{}).(lingerer)
	if !ok {
		return
	}
	if err := connection.SetLinger(seconds); err != nil {
		s.log.WithError(err).Info("Close of a caller's connection not set.")
	}
}
