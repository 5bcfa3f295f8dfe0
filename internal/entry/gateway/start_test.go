package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/board"
)

// newUnjoinedSite starts a gateway that has not joined the other hosts, as one that the platform's store turns away.
func newUnjoinedSite(t *testing.T) *site {
	return newSiteOn(t, board.New(board.Member{Name: "entry-1", CallerURL: "10.0.0.1:80"}), 250*time.Millisecond, answerWith(http.StatusOK, "answer"))
}

// TestRequestsOfAHostThatHasNotJoinedAreAnswered guards against a host that reads requests and answers none of them,
// because they waited for its start without a limit (review/9).
func TestRequestsOfAHostThatHasNotJoinedAreAnswered(t *testing.T) {
	const slack = 150 * time.Millisecond
	rows := []struct {
		name, method, path, leftMS string
		// joins and stops are when the host joins, and when a planned stop begins, 0 if it does not.
		joins, stops time.Duration
		within       time.Duration
		reason       string
		status       int
	}{
		{"idempotent, a short deadline", "GET", "/read/x", "300", 0, 0, 300 * time.Millisecond, "no-configuration", 503},
		{"not idempotent, a short deadline", "POST", "/write/x", "300", 0, 0, 300 * time.Millisecond, "no-configuration", 503},
		{"stream, a long deadline", "POST", "/fixed/x", "15000", 0, 0, startLimit + slack, "no-configuration", 503},
		{"no deadline", "GET", "/read/x", "", 0, 0, startLimit + slack, "no-configuration", 503},
		{"it joins in the middle", "GET", "/read/x", "", 200 * time.Millisecond, 0, 450*time.Millisecond + slack, "", 200},
		{"it is stopped in the middle", "POST", "/write/x", "15000", 0, 200 * time.Millisecond, 200*time.Millisecond + slack, "host-stopping", 503},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := newUnjoinedSite(t)
			if row.joins > 0 {
				time.AfterFunc(row.joins, s.board.SetJoined)
			}
			if row.stops > 0 {
				time.AfterFunc(row.stops, func() { s.beginStop(0, StopSchedule{ServeCalls: time.Second, AnswersEnd: 2 * time.Second}) })
			}
			sentAt := time.Now()
			got := s.send(row.method, row.path, strings.Repeat("x", 10), "Left-Ms", row.leftMS)
			require.Less(t, time.Since(sentAt), row.within)
			require.Equal(t, row.status, got.status)
			require.Contains(t, got.body, row.reason)
			if row.status != http.StatusOK {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
			require.Equal(t, row.status == http.StatusOK, s.runs()[0] == 1, "not run")
		})
	}
}

// TestHostThatHasNotJoinedIsNotReady guards against a readiness check that is good although requests would wait.
func TestHostThatHasNotJoinedIsNotReady(t *testing.T) {
	s := newUnjoinedSite(t)
	status, _ := get(s.server.ReadinessHandler(), "/ready")
	require.Equal(t, http.StatusServiceUnavailable, status)
	s.board.SetJoined()
	require.Eventually(t, func() bool {
		status, _ := get(s.server.ReadinessHandler(), "/ready")
		return status == http.StatusOK
	}, 2*time.Second, 10*time.Millisecond)
}

// TestHostThatDoesNotWaitForOthersIsReady starts a host that serves without the others if it does not reach them.
func TestHostThatDoesNotWaitForOthersIsReady(t *testing.T) {
	s := newSiteOn(t, board.New(board.Member{Name: "entry-1"}), 0, answerWith(http.StatusOK, "answer"))
	status, _ := get(s.server.ReadinessHandler(), "/ready")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, http.StatusOK, s.send("GET", "/read/x", "").status)
}

// TestLateRequestsOfAHostThatHasNotJoinedWaitShortly guards against callers that wait in vain, each for as long as the
// first ones, at a host that cannot join for a long time.
func TestLateRequestsOfAHostThatHasNotJoinedWaitShortly(t *testing.T) {
	s := newUnjoinedSite(t)
	s.server.createdAt = time.Now().Add(-time.Minute)
	sentAt := time.Now()
	got := s.send("GET", "/read/x", "")
	require.Less(t, time.Since(sentAt), joinTimeout+150*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
}

// TestRequestWhoseBodyNeverEndsIsAnswered guards against requests that hold up the end of a stop, and are closed
// without an answer, because their bodies were awaited without a limit.
func TestRequestWhoseBodyNeverEndsIsAnswered(t *testing.T) {
	rows := []struct {
		name, leftMS string
		stops        bool
		reason       string
		status       int
	}{
		{"until its deadline", "300", false, "deadline-passed", http.StatusGatewayTimeout},
		{"until the end of a stop", "5000", true, "host-stopping", http.StatusServiceUnavailable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, answerWith(http.StatusOK, "answer"))
			connection, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
			require.NoError(t, err)
			defer connection.Close()
			_, err = fmt.Fprintf(connection, "POST /write/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: id-1\r\nKey: key\r\nLeft-Ms: %s\r\nContent-Length: 100\r\n\r\nhalf", row.leftMS)
			require.NoError(t, err)
			if row.stops {
				time.Sleep(100 * time.Millisecond)
				s.beginStop(0, StopSchedule{ServeCalls: time.Second, AnswersEnd: 2 * time.Second})
				s.server.EndRequests()
			}
			require.NoError(t, connection.SetReadDeadline(time.Now().Add(time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, row.status, response.StatusCode)
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				_ = s.server.Close()
			}()
			select {
			case <-closed:
			case <-time.After(time.Second):
				require.Fail(t, "the request holds up the end of the host")
			}
			require.Equal(t, []int{0}, s.runs())
		})
	}
}
