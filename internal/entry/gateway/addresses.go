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

const (
	// arbitrationCost is the processor time that a request takes at its arbiter, as a part of
	// what it takes at its front.
	arbitrationCost = 0.14
	// minArbiterShare is the part of a usual front's requests that the host with the arbiter
	// gets at least.
	minArbiterShare = 0.25
	// minAddresses is the number of addresses that a caller gets if there are as many.
	minAddresses = 4
)

// arbiterShare returns the part of a usual front's requests with which the host of the arbiter
// has as much to do as the others.
func arbiterShare(hosts int) float64 {
	others := float64(hosts - 1)
	return min(max((1-others*arbitrationCost)/(1+arbitrationCost), minArbiterShare), 1)
}

// chooseAddresses returns the addresses for one caller. Callers use all of them alike, so a
// weak host, or one that arbitrates for all, is named to part of the callers only. random
// returns a number from 0 to 1.
func chooseAddresses(live []board.Member, arbiter string, random func() float64) []string {
	weights := make([]float64, len(live))
	highest := 0.0
	for i, m := range live {
		weights[i] = m.Capacity
		if m.Capacity == 0 {
			weights[i] = 1
		}
		if m.Name == arbiter {
			weights[i] *= arbiterShare(len(live))
		}
		highest = max(highest, weights[i])
	}
	var chosen, others []string
	for i, m := range live {
		switch {
		case m.Leaving:
		case random() < weights[i]/highest:
			chosen = append(chosen, m.CallerURL)
		default:
			others = append(others, m.CallerURL)
		}
	}
	// A caller needs some to choose from when hosts fail.
	missing := min(max(minAddresses-len(chosen), 0), len(others))
	return append(chosen, others[:missing]...)
}

func (s *Server) resolve(c *gin.Context) {
	members := s.board.Members()
	arbiter := members.Owner(board.SharedDuty, nil, func(board.Member) bool { return true })
	addresses := chooseAddresses(members.Live, arbiter.Name, rand.Float64)
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
