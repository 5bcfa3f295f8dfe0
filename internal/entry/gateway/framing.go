package gateway

import "net/http"

// framing names what marks the end of an answer.
type framing string

const (
	// framedByLength means that the header states the length of the body.
	framedByLength framing = "length"
	// framedByChunks means that the body consists of chunks and ends with an empty one.
	framedByChunks framing = "chunks"
	// framedByConnection means that the body ends with its connection.
	framedByConnection framing = "connection"
)

// framingOf returns the framing of the answer of a target.
func framingOf(response *http.Response) framing {
	switch {
	case response.ContentLength >= 0:
		return framedByLength
	case len(response.TransferEncoding) > 0:
		return framedByChunks
	}
	return framedByConnection
}
