package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newReusingSite is newSite with reuse of connections to targets.
func newReusingSite(t *testing.T, handlers ...http.HandlerFunc) *site {
	s := newSite(t, handlers...)
	s.server.common.Settings.Gateway.ReuseConnections = true
	return s
}

// connections returns the number of connections on which a target received requests.
func (t *testTarget) connections() int {
	addresses := map[string]bool{}
	for _, r := range t.requests() {
		addresses[r.RemoteAddr] = true
	}
	return len(addresses)
}

// TestRequestsThatRunOnceShareAConnection guards against a new connection for each request, and against
// reuse where the setting is off.
func TestRequestsThatRunOnceShareAConnection(t *testing.T) {
	for _, path := range []string{"/write/x", "/fixed/x"} {
		for _, reuses := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reuses %t", path, reuses), func(t *testing.T) {
				s := newReusingSite(t, answerWith(http.StatusOK, "id: 1\ndata: x\n\n"))
				s.server.common.Settings.Gateway.ReuseConnections = reuses
				for i := range 3 {
					require.Equal(t, http.StatusOK, s.send("POST", path, "order", "Id", fmt.Sprint("id-", i)).status)
				}
				want := 3
				if reuses {
					want = 1
				}
				require.Equal(t, want, s.targets[0].connections())
			})
		}
	}
}

// TestStreamThatEndsInsideAnEventDoesNotKeepItsConnection guards against the reuse of the connection of
// a target that has broken off an answer, although its last chunk came.
func TestStreamThatEndsInsideAnEventDoesNotKeepItsConnection(t *testing.T) {
	s := newReusingSite(t, answerWith(http.StatusOK, "id: 1\ndata: x\n\nid: 2\nda"))
	for i := range 2 {
		s.send("POST", "/fixed/x", "order", "Id", fmt.Sprint("id-", i))
	}
	require.Equal(t, 2, s.targets[0].connections())
}

// TestLeavingTargetKeepsNoConnection guards against idle connections that delay the end of a target.
func TestLeavingTargetKeepsNoConnection(t *testing.T) {
	closed := make(chan bool, 1)
	s := newReusingSite(t, func(w http.ResponseWriter, r *http.Request) {
		connection, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer connection.Close()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		_ = buffered.Flush()
		_ = connection.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
		_, err = connection.Read(make([]byte, 1))
		closed <- err == io.EOF
	})
	require.Equal(t, http.StatusOK, s.send("POST", "/write/x", "order").status)
	require.True(t, <-closed, "the connection is closed before its idle time ends")
}

// TestArbiterPrefersTheTargetWithAnIdleConnection guards against losing what fronts report of their
// connections. The first target, which would be chosen otherwise, keeps none.
func TestArbiterPrefersTheTargetWithAnIdleConnection(t *testing.T) {
	release := make(chan struct{})
	s := newReusingSite(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set("Connection", "close")
	}, answerWith(http.StatusOK, "second"))
	first := make(chan result)
	go func() { first <- s.send("POST", "/write/x", "order", "Id", "first") }()
	require.Eventually(t, func() bool { return s.runs()[0] == 1 }, time.Second, time.Millisecond)
	require.Equal(t, "second", s.send("POST", "/write/x", "order", "Id", "second").body)
	close(release)
	require.Equal(t, http.StatusOK, (<-first).status)
	require.Equal(t, "second", s.send("POST", "/write/x", "order", "Id", "third").body)
	require.Equal(t, 1, s.targets[1].connections())
}

// TestReusedConnectionsAndOtherAnswers lets a target answer the second request on a connection in a way
// that is not an answer to it. A caller must get neither the answer to another request nor a promise
// that its request has not run.
func TestReusedConnectionsAndOtherAnswers(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nId: id-0\r\nSeal: s\r\nContent-Length: 5\r\n\r\nstray"
	refusal := "HTTP/1.1 421 Misdirected Request\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	own := "HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Length: 3\r\n\r\nown"
	rows := []struct {
		name, response string
		want           int
		body           string // Empty: any.
		runs           []int
	}{
		{"stray answer first", stray + own, http.StatusOK, "own", []int{2, 0}},
		{"stray answer only", stray, http.StatusBadGateway, "", []int{2, 0}},
		{"stray refusal first", fmt.Sprintf(refusal, "Id: id-0\r\n") + own, http.StatusOK, "own", []int{2, 0}},
		{"refusal without an id", fmt.Sprintf(refusal, ""), http.StatusBadGateway, "", []int{2, 0}},
		{"another target has the address", fmt.Sprintf(refusal, "Id: id-1\r\n"), http.StatusOK, "other", []int{2, 1}},
		{"nothing", "", http.StatusBadGateway, "", []int{2, 0}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newReusingSite(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Id") == "id-0" {
					return
				}
				connection, buffered, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer connection.Close()
				_, _ = buffered.WriteString(row.response)
				_ = buffered.Flush()
			}, answerWith(http.StatusOK, "other"))
			require.Equal(t, http.StatusOK, s.send("POST", "/write/x", "order", "Id", "id-0").status)
			got := s.send("POST", "/write/x", "order")
			require.Equal(t, 1, s.targets[0].connections())
			require.Equal(t, row.want, got.status, got.body)
			require.Equal(t, row.runs, s.runs())
			require.NotContains(t, got.body, "not-run")
			if row.body != "" {
				require.Equal(t, row.body, got.body)
			}
		})
	}
}
