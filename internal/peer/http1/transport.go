package http1

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"redwinglock/internal/peer/body"
)

// Transport is an http.Transport that returns no answer with an invalid head.
type Transport struct{ *http.Transport }

// NewTransport creates a transport and bounds the heads that it reads. It takes over the given transport, which must
// not be used afterwards.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = body.MaxHeaderBytes
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	c := &call{}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), c.trace())))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		c.closeConnection() // The library may have kept it already.
		return nil, err
	}
	return response, nil
}

// call is the state of one call. The library calls its trace in several goroutines.
type call struct {
	mu sync.Mutex
	// connection is the latest connection of the call.
	connection interface{ Close() error }
	// informational is the number of informational answers.
	informational int
}

// trace returns the hooks by which the library reports the progress of the call.
func (c *call) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: c.gotConnection, Got1xxResponse: c.gotInformational}
}

// gotInformational ends a call with an informational answer whose head is not valid, or with too many of them: the
// library counts them only if nobody asks for them.
func (c *call) gotInformational(_ int, header textproto.MIMEHeader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.informational++
	if c.informational > MaxInformational {
		return ErrTooManyInformational
	}
	return CheckFieldNames(http.Header(header))
}

func (c *call) gotConnection(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connection = info.Conn
}

func (c *call) closeConnection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connection != nil {
		_ = c.connection.Close()
	}
}
