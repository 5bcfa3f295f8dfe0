package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"redwinglock/internal/state/object"
)

// framedMessage returns a whole message with the given body in the given framing.
func framedMessage(by framing, contentType, body string) string {
	head := "HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: s\r\nContent-Type: " + contentType + "\r\n"
	switch by {
	case framedByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case framedByChunks:
		text := head + "Transfer-Encoding: chunked\r\n\r\n"
		for n := 0; n < len(body); n += 7 {
			chunk := body[n:min(n+7, len(body))]
			text += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
		}
		return text + "0\r\n\r\n"
	default:
		return head + "Connection: close\r\n\r\n" + body
	}
}

var framings = []framing{framedByLength, framedByChunks, framedByConnection}

// copyMessage lets an answer copy a raw message that ends with end, and returns what the caller has received.
func copyMessage(message string, end error, lastID string) (string, error) {
	return copyMessageOf(object.Stream, message, end, lastID)
}

func copyMessageOf(execution object.Execution, message string, end error, lastID string) (string, error) {
	reader := io.MultiReader(strings.NewReader(message), failingReader{end})
	response, err := http.ReadResponse(bufio.NewReader(reader), httptest.NewRequest(http.MethodPost, "/", nil))
	if err != nil {
		return "", err
	}
	gin.SetMode(gin.ReleaseMode)
	recorder := httptest.NewRecorder()
	c, _ := gin.CreateTestContext(recorder)
	a := &answer{writer: c.Writer, request: &request{route: &object.Route{Execution: execution}}}
	a.events.lastID = lastID
	_, err = a.copy(response)
	return recorder.Body.String(), err
}

// failingReader returns its error, io.EOF if that is nil.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return 0, io.EOF
}

// TestStreamCutAtAnyByteIsNotWhole cuts streams at every byte, in every framing.
func TestStreamCutAtAnyByteIsNotWhole(t *testing.T) {
	rows := []struct{ name, lineEnd string }{{"line feeds", "\n"}, {"carriage returns and line feeds", "\r\n"}, {"carriage returns", "\r"}}
	for _, row := range rows {
		stream := strings.ReplaceAll(wholeStream(3), "\n", row.lineEnd)
		eventLength := len(stream) / 3
		for _, by := range framings {
			whole := framedMessage(by, "text/event-stream", stream)
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, end by %s, reset %t", row.name, by, reset), func(t *testing.T) {
					var end error
					if reset {
						end = net.ErrClosed
					}
					for cut := range len(whole) + 1 {
						body, err := copyMessage(whole[:cut], end, "")
						sent := cut - (len(whole) - len(stream))
						// Nothing but the end of an event tells where such a stream ends.
						isEndOfEvent := by == framedByConnection && !reset && sent > 0 && sent%eventLength == 0
						isWhole := cut == len(whole) && (by != framedByConnection || !reset)
						if !isWhole && !isEndOfEvent {
							require.Error(t, err, "cut after %d of %d bytes: %q", cut, len(whole), body)
							require.Zero(t, len(body)%eventLength, "a part of an event: %q", body)
							continue
						}
						require.NoError(t, err, "cut after %d of %d bytes", cut, len(whole))
						if isWhole {
							sent = len(stream)
						}
						require.Equal(t, stream[:sent], body)
					}
				})
			}
		}
	}
}

// TestPlainAnswerCutAtAnyByteIsNotWhole cuts plain answers at every byte of their head and their body.
func TestPlainAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	rows := []struct {
		name string
		size int
		step int
	}{{"small", 40, 1}, {"larger than what is buffered", maxBufferedBytes + 9000, 1777}}
	for _, row := range rows {
		content := strings.Repeat("x", row.size)
		for _, by := range framings {
			whole := framedMessage(by, "application/json", content)
			head := len(whole) - len(content)
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, end by %s, reset %t", row.name, by, reset), func(t *testing.T) {
					var end error
					if reset {
						end = net.ErrClosed
					}
					for cut := 0; cut < len(whole); cut += row.step {
						body, err := copyMessageOf(object.NonIdempotent, whole[:cut], end, "")
						if by == framedByConnection && !reset && cut >= head {
							require.NoError(t, err, "its end is that of its connection")
							require.Len(t, body, cut-head)
							continue
						}
						require.Error(t, err, "cut after %d of %d bytes", cut, len(whole))
					}
				})
			}
		}
	}
}

// TestStreamThatEndsInsideAnEventInAWholeFrameIsBroken ends streams at every byte in a frame that says that it is
// complete.
func TestStreamThatEndsInsideAnEventInAWholeFrameIsBroken(t *testing.T) {
	stream := wholeStream(3)
	eventLength := len(stream) / 3
	for _, by := range framings {
		t.Run(string(by), func(t *testing.T) {
			for length := range len(stream) + 1 {
				body, err := copyMessage(framedMessage(by, "text/event-stream", stream[:length]), nil, "")
				isWhole := length > 0 && length%eventLength == 0
				require.Equal(t, isWhole, err == nil, "after %d of %d bytes: %q %v", length, len(stream), body, err)
				require.Equal(t, stream[:length/eventLength*eventLength], body)
			}
		})
	}
}

// TestStreamWithoutEventsIsWholeOnlyAfterTheLastOne sends no event at all.
func TestStreamWithoutEventsIsWholeOnlyAfterTheLastOne(t *testing.T) {
	rows := []struct {
		name    string
		by      framing
		lastID  string
		isWhole bool
	}{
		{"length, from the start", framedByLength, "", false},
		{"chunks, from the start", framedByChunks, "", false},
		{"connection, from the start", framedByConnection, "", false},
		{"length, after the last event", framedByLength, "3", true},
		{"chunks, after the last event", framedByChunks, "3", true},
		{"connection, after an event", framedByConnection, "3", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := copyMessage(framedMessage(row.by, "text/event-stream", ""), nil, row.lastID)
			require.Equal(t, row.isWhole, err == nil, "%v", err)
		})
	}
}

// TestTextBetweenEventsDoesNotBreakAStream ends streams with lines that belong to no event.
func TestTextBetweenEventsDoesNotBreakAStream(t *testing.T) {
	rows := []struct {
		name, after string
		isWhole     bool
	}{
		{"nothing", "", true},
		{"an empty line", "\n", true},
		{"a comment", ": done\n", true},
		{"a comment and an empty line", ": done\n\n", true},
		{"a part of a comment", ": do", false},
		{"the name of a field", "id", false},
		{"a whole line of an event", "id: 4\n", false},
	}
	for _, row := range rows {
		for _, by := range framings {
			t.Run(row.name+", "+string(by), func(t *testing.T) {
				text := wholeStream(3) + row.after
				body, err := copyMessage(framedMessage(by, "text/event-stream", text), nil, "")
				require.Equal(t, row.isWhole, err == nil, "%v", err)
				if row.isWhole {
					require.Equal(t, text, body)
				}
			})
		}
	}
}

// TestAnswerWithoutEventsOnARouteOfStreamsEndsWithItsFrame sends answers that cannot be split into events.
func TestAnswerWithoutEventsOnARouteOfStreamsEndsWithItsFrame(t *testing.T) {
	const text = `{"error":"the prompt is empty"}`
	for _, by := range framings {
		t.Run(string(by), func(t *testing.T) {
			body, err := copyMessage(framedMessage(by, "application/json", text), nil, "")
			require.NoError(t, err)
			require.Equal(t, text, body)
			encoded := framedMessage(by, "text/event-stream\r\nContent-Encoding: gzip", "\x1f\x8b bytes")
			body, err = copyMessage(encoded, nil, "")
			require.NoError(t, err)
			require.Equal(t, "\x1f\x8b bytes", body)
		})
	}
}

// framedAnswer writes an answer to a stream that says that it is complete after the given text.
func framedAnswer(by framing, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer connection.Close()
		message := framedMessage(by, "text/event-stream", text)
		_, _ = io.WriteString(connection, strings.Replace(message, "Seal: s", "Seal: seal-of-"+r.Header.Get("Target"), 1))
	}
}

// TestBrokenStreamInAWholeFrameReachesNoCallerAsWhole sends such streams through a host.
func TestBrokenStreamInAWholeFrameReachesNoCallerAsWhole(t *testing.T) {
	half := wholeStream(3) + "id: 4\ndata: pie"
	rows := []struct {
		name, path, text string
		next             http.HandlerFunc
		status           int
		want             string
		isCut            bool
	}{
		{"inside an event, not resumable", "/fixed/x", half, nil, 200, wholeStream(3), true},
		{"before the first event, not resumable", "/fixed/x", "", nil, 502, "", false},
		{"inside the first event, not resumable", "/fixed/x", "id: 1\nda", nil, 502, "", false},
		{"inside an event, resumed", "/resumed/x", half, events(4, 6, false), 200, wholeStream(6), false},
		{"before the first event, resumed", "/resumed/x", "", events(1, 3, false), 200, wholeStream(3), false},
		{"inside an event, no target resumes it", "/resumed/x", half, notRun, 200, wholeStream(3), true},
	}
	for _, row := range rows {
		for _, by := range framings {
			t.Run(row.name+", "+string(by), func(t *testing.T) {
				if row.next == nil {
					row.next = events(1, 9, false)
				}
				s := newSite(t, framedAnswer(by, row.text), row.next)
				got := s.send("POST", row.path, "prompt")
				require.Equal(t, row.status, got.status)
				require.Equal(t, row.isCut, got.err != nil, "%v", got.err)
				if row.status == http.StatusOK {
					require.Equal(t, row.want, got.body)
				}
			})
		}
	}
}

// TestAnswerCutInItsHeadIsNoSuccess closes connections in the middle of the head of an answer.
func TestAnswerCutInItsHeadIsNoSuccess(t *testing.T) {
	for _, by := range framings {
		message := framedMessage(by, "text/event-stream", wholeStream(2))
		head := strings.Index(message, "\r\n\r\n") + len("\r\n\r\n")
		for cut := 1; cut < head; cut += 11 {
			for _, path := range []string{"/write/x", "/fixed/x"} {
				t.Run(fmt.Sprintf("end by %s, %s, after %d bytes", by, path, cut), func(t *testing.T) {
					s := newSite(t, func(w http.ResponseWriter, _ *http.Request) {
						connection, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							panic(err)
						}
						defer connection.Close()
						_, _ = io.WriteString(connection, message[:cut])
					})
					got := s.send("POST", path, "body")
					require.NoError(t, got.err)
					require.Equal(t, http.StatusBadGateway, got.status)
				})
			}
		}
	}
}
