package gateway

import (
	"math/rand/v2"
	"net/http"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/state/board"
)

// ReadinessHandler returns the handler by which the platform checks whether this host would serve
// callers now.
func (s *Server) ReadinessHandler() http.Handler {
	router := gin.New()
	router.GET(s.dialect.ReadinessPath(), func(c *gin.Context) {
		if s.board.Stopping() || s.board.Config() == nil || !s.arbiters.HasStarted() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	return router
}

// DirectoryHandler returns the handler that lists the addresses for callers to use.
func (s *Server) DirectoryHandler() http.Handler {
	router := gin.New()
	router.GET(s.dialect.ResolvePath(), s.resolve)
	return router
}

const (
	// arbitrationCost is the CPU time that a request costs at its arbiter, as a fraction of the
	// CPU time that it costs at its front.
	arbitrationCost = 0.14
	// minArbiterHostWeight is the minimum weight of the host that runs the arbiter.
	minArbiterHostWeight = 0.25
	// minAddresses is the minimum number of addresses in a list, if that many hosts are available.
	minAddresses = 4
)

// arbiterHostWeight returns the number of requests that the arbiter's host should receive, as a
// fraction of those that each other host receives. With this fraction all hosts have the same
// CPU load, unless the lower bound applies.
func arbiterHostWeight(hosts int) float64 {
	others := float64(hosts - 1)
	return min(max((1-others*arbitrationCost)/(1+arbitrationCost), minArbiterHostWeight), 1)
}

// chooseAddresses returns the addresses for one caller. A caller spreads its requests evenly
// over its list, so a host with less capacity, and the host that runs the arbiter, are listed
// for a part of the callers only. random returns a number from 0 to 1.
func chooseAddresses(live []board.Member, arbiter string, random func() float64) []string {
	weights := make([]float64, len(live))
	highest := 0.0
	for i, m := range live {
		weights[i] = m.Capacity
		if m.Capacity == 0 {
			weights[i] = 1
		}
		if m.Name == arbiter {
			weights[i] *= arbiterHostWeight(len(live))
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
	// A caller needs alternatives when hosts fail.
	missing := min(max(minAddresses-len(chosen), 0), len(others))
	return append(chosen, others[:missing]...)
}

func (s *Server) resolve(c *gin.Context) {
	members := s.board.Members()
	arbiter := members.Owner(board.DiscoveredPools, nil, func(board.Member) bool { return true })
	addresses := chooseAddresses(members.Live, arbiter.Name, rand.Float64)
	// The dialect may shorten the list, so the order must be random.
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if len(addresses) == 0 {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	content, err := s.dialect.WriteResolve(addresses, s.common.Settings.Gateway.AddressTTL)
	if err != nil {
		s.log.WithError(err).Error("Addresses could not be encoded.")
		c.Status(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/json", content)
}
