// Package http1 checks the answers of other processes beyond what the HTTP library does: whether the head of an
// answer is valid, and whether a body that ends with its connection is whole.
package http1

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead is returned for a head that is none. The call may have run, and the connection must not be used
// again: nobody knows where the next answer begins.
var ErrInvalidHead = errors.New("invalid head of an answer")

// MaxInformational is the maximum number of informational answers before a final one.
const MaxInformational = 5

// ErrTooManyInformational is returned if more informational answers come.
var ErrTooManyInformational = errors.New("too many informational answers")

// maxStatus is the highest status of an answer.
const maxStatus = 599

// CheckHead returns an error, which wraps ErrInvalidHead, if the head of a final answer is not valid. The status is
// from 200 to 599. Informational answers come before, and nothing here asks for another protocol.
func CheckHead(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %q", ErrInvalidHead, response.Status)
	}
	return CheckFieldNames(response.Header)
}

// CheckFieldNames returns an error, which wraps ErrInvalidHead, unless the name of each field is a token. The HTTP
// library accepts names with blanks. A length or an encoding with such a name frames the body for some readers only.
func CheckFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrInvalidHead, name)
		}
	}
	return nil
}
