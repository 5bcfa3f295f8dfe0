package gateway

import (
	"math/rand/v2"
	"net/http"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/state/board"
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

// chooseAddresses returns the addresses for one caller. Callers use all of them alike, so a
// weak host is named to part of the callers only, by its capacity. random returns a number
// from 0 to 1.
func chooseAddresses(live []board.Member, random func() float64) []string {
	highest := 0.0
	for _, m := range live {
		highest = max(highest, m.Capacity)
	}
	var chosen, others []string
	for _, m := range live {
		switch {
		case m.Leaving:
		case highest == 0 || random() < m.Capacity/highest:
			chosen = append(chosen, m.CallerURL)
		default:
			others = append(others, m.CallerURL)
		}
	}
	// A caller needs some to choose from when hosts fail.
	missing := min(max(minAddresses-len(chosen), 0), len(others))
	return append(chosen, others[:missing]...)
}

// minAddresses is the number of addresses that a caller gets if there are as many.
const minAddresses = 4

func (s *Server) resolve(c *gin.Context) {
	addresses := chooseAddresses(s.board.Members().Live, rand.Float64)
	// The list may be shortened for the caller.
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
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
