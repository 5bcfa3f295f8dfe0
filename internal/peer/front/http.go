package front

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
)

// ServeLink serves the stream of one front until either side ends it.
func (s *Server) ServeLink(c *gin.Context) {
	control := http.NewResponseController(c.Writer)
	// The stream may stay open as long as the front runs, so the timeouts of the listener, which are
	// meant for single requests, must not apply to it.
	_ = control.SetReadDeadline(time.Time{})
	_ = control.SetWriteDeadline(time.Time{})
	known, err := notice.ParseDigests(c.GetHeader(wire.NoticesHeader))
	if err != nil {
		s.log.WithError(err).Warn("Digests of a front ignored.")
	}
	c.Header(wire.NoticesHeader, s.board.Notices().Digests().String())
	c.Status(http.StatusOK)
	c.Writer.WriteHeaderNow()
	c.Writer.Flush()

	box := wire.NewOutbox[wire.Down]()
	host := wire.HostID(c.GetHeader(wire.HostHeader))
	session := s.Attach(host, box, known)
	log := s.log.WithField("front", host)
	log.Info("Front attached.")

	written := make(chan struct{})
	go func() {
		defer close(written)
		peers := s.common.Settings.Peers
		_ = wire.WriteLoop(c.Writer, c.Writer.Flush, box, peers.LinkInterval, c.Request.Context().Done())
	}()
	onSilence := func() { _ = control.SetReadDeadline(time.Now()) }
	err = wire.ReadLoop(c.Request.Body, s.common.Settings.Peers.LinkTimeout, onSilence, session.Handle)
	_ = session.Close()
	<-written
	log.WithError(err).Info("Front detached.")
}
