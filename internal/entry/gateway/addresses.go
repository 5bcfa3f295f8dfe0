package gateway

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// ReadinessHandler tells the platform whether callers may be sent here.
func (s *Server) ReadinessHandler() http.Handler {
	router := gin.New()
	router.GET(s.dialect.ReadinessPath(), func(c *gin.Context) {
		if s.board.Stopping() || s.board.Config() == nil {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return router
}

// DirectoryHandler tells callers which addresses to use.
func (s *Server) DirectoryHandler() http.Handler {
	router := gin.New()
	router.GET(s.dialect.ResolvePath(), s.resolve)
	return router
}

func (s *Server) resolve(c *gin.Context) {
	var addresses []string
	for _, m := range s.board.Members().Live {
		if !m.Leaving {
			addresses = append(addresses, m.CallerURL)
		}
	}
	if len(addresses) == 0 {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	content, err := s.dialect.WriteResolve(addresses, s.common.Settings.Gateway.AddressTTL)
	if err != nil {
		s.log.WithError(err).Error("Addresses not encoded.")
		c.Status(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/json", content)
}
