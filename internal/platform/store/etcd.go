package store

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/http1"
)

const (
	// maxAnswerBytes is the maximum size of an answer. One call can read several values of up
	// to a megabyte each.
	maxAnswerBytes = 64 << 20
	// maxWatchSilence is the time without a message after which a watch is ended.
	maxWatchSilence = 30 * time.Second
	dialTimeout     = time.Second
)

// Etcd implements KV with the JSON gateway of etcd v3.
type Etcd struct {
	endpoints    []string
	nextEndpoint atomic.Uint32
	timeout      time.Duration
	http         *http.Client
}

// NewEtcd creates a client for the endpoints. The timeout applies to each call, but not to
// watches.
func NewEtcd(endpoints []string, timeout time.Duration) *Etcd {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Etcd{
		endpoints: endpoints,
		timeout:   timeout,
		http:      &http.Client{Transport: http1.NewTransport(&http.Transport{DialContext: dialer.DialContext})},
	}
}

// Close closes idle connections.
func (e *Etcd) Close() error {
	e.http.CloseIdleConnections()
	return nil
}

// int64String is an int64 that the gateway encodes as a JSON string.
type int64String int64

// UnmarshalJSON implements json.Unmarshaler.
func (n *int64String) UnmarshalJSON(text []byte) error {
	value, err := strconv.ParseInt(string(bytes.Trim(text, `"`)), 10, 64)
	if err != nil {
		return fmt.Errorf("number: %w", err)
	}
	*n = int64String(value)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (n int64String) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// The messages of the gateway. Byte slices are encoded as base64.
type (
	rangeRequest struct {
		Key []byte `json:"key"`
	}
	rangeResponse struct {
		KVs []keyValue `json:"kvs"`
	}
	keyValue struct {
		Key         []byte      `json:"key"`
		Value       []byte      `json:"value"`
		ModRevision int64String `json:"mod_revision"`
	}
	compare struct {
		Key         []byte      `json:"key"`
		Target      string      `json:"target"`
		Result      string      `json:"result"`
		ModRevision int64String `json:"mod_revision"`
	}
	putRequest struct {
		Key   []byte      `json:"key"`
		Value []byte      `json:"value"`
		Lease int64String `json:"lease,omitempty"`
	}
	requestOp struct {
		Range  *rangeRequest `json:"request_range,omitempty"`
		Put    *putRequest   `json:"request_put,omitempty"`
		Delete *rangeRequest `json:"request_delete_range,omitempty"`
	}
	responseOp struct {
		Range *rangeResponse `json:"response_range"`
	}
	txnRequest struct {
		Compare []compare   `json:"compare,omitempty"`
		Success []requestOp `json:"success,omitempty"`
		Failure []requestOp `json:"failure,omitempty"`
	}
	txnResponse struct {
		Succeeded bool         `json:"succeeded"`
		Responses []responseOp `json:"responses"`
	}
	leaseRequest struct {
		TTL int64String `json:"TTL"`
	}
	leaseResponse struct {
		ID int64String `json:"ID"`
	}
	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}
	watchCreate struct {
		Key            []byte `json:"key"`
		ProgressNotify bool   `json:"progress_notify"`
	}
	watchResponse struct {
		Result struct {
			Created  bool              `json:"created"`
			Canceled bool              `json:"canceled"`
			Events   []json.RawMessage `json:"events"`
		} `json:"result"`
	}
)

// Get implements KV.
func (e *Etcd) Get(ctx context.Context, key string) (Value, error) {
	values, err := e.GetAll(ctx, []string{key})
	if err != nil {
		return Value{}, err
	}
	return values[0], nil
}

// GetAll implements KV.
func (e *Etcd) GetAll(ctx context.Context, keys []string) ([]Value, error) {
	var request txnRequest
	for _, key := range keys {
		request.Success = append(request.Success, requestOp{Range: &rangeRequest{[]byte(key)}})
	}
	var response txnResponse
	if err := e.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return nil, err
	}
	return rangeValues(response.Responses, len(keys))
}

// Txn implements KV.
func (e *Etcd) Txn(ctx context.Context, t Transaction) (bool, []Value, error) {
	var request txnRequest
	for _, c := range t.Compares {
		key := []byte(c.Key)
		request.Compare = append(request.Compare, compare{Key: key, Target: "MOD", Result: "EQUAL", ModRevision: int64String(c.ModRevision)})
		request.Failure = append(request.Failure, requestOp{Range: &rangeRequest{key}})
	}
	for _, p := range t.Puts {
		request.Success = append(request.Success, requestOp{Put: &putRequest{[]byte(p.Key), p.Data, int64String(p.Lease)}})
	}
	for _, key := range t.Deletes {
		request.Success = append(request.Success, requestOp{Delete: &rangeRequest{[]byte(key)}})
	}
	var response txnResponse
	if err := e.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return false, nil, err
	}
	if response.Succeeded {
		return true, nil, nil
	}
	values, err := rangeValues(response.Responses, len(t.Compares))
	return false, values, err
}

func rangeValues(responses []responseOp, expected int) ([]Value, error) {
	if len(responses) != expected {
		return nil, fmt.Errorf("%w: %d answers to %d reads", ErrUnavailable, len(responses), expected)
	}
	values := make([]Value, expected)
	for i, r := range responses {
		if r.Range != nil && len(r.Range.KVs) > 0 {
			kv := r.Range.KVs[0]
			values[i] = Value{Data: kv.Value, ModRevision: Position(kv.ModRevision)}
		}
	}
	return values, nil
}

// Grant implements KV.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response leaseResponse
	request := leaseRequest{TTL: int64String(max(ttl/time.Second, 1))}
	if err := e.call(ctx, "/v3/lease/grant", request, &response); err != nil {
		return 0, err
	}
	return LeaseID(response.ID), nil
}

// call sends one request to the current endpoint and decodes the answer.
func (e *Etcd) call(ctx context.Context, path string, request, response any) error {
	ctx, transfer := body.NewTransfer(ctx, e.timeout, e.timeout)
	defer transfer.Close()
	answer, err := e.post(ctx, path, request)
	if err != nil {
		return transfer.Err(err)
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(transfer.Reader(answer.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: read answer: %w", ErrUnavailable, err)
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnavailable, answer.StatusCode)
	}
	if err := json.Unmarshal(content, response); err != nil {
		return fmt.Errorf("%w: decode answer: %w", ErrUnavailable, err)
	}
	return nil
}

// post sends a request to the current endpoint. If it cannot be sent or gets no answer, later
// requests use the next endpoint.
func (e *Etcd) post(ctx context.Context, path string, request any) (*http.Response, error) {
	content, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode store request: %w", err)
	}
	endpoint := e.endpoints[int(e.nextEndpoint.Load())%len(e.endpoints)]
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("create store request: %w", err)
	}
	post.Header.Set("Content-Type", "application/json")
	answer, err := e.http.Do(post)
	if err != nil {
		e.nextEndpoint.Add(1)
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return answer, nil
}

// Watch implements KV. A watch that receives no message for maxWatchSilence is ended, because
// its connection may be broken. The caller then reads the key and starts a new watch.
func (e *Etcd) Watch(ctx context.Context, key string, changed func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := watchRequest{watchCreate{Key: []byte(key), ProgressNotify: true}}
	silenceTimer := time.AfterFunc(maxWatchSilence, cancel)
	defer silenceTimer.Stop()
	answer, err := e.post(ctx, "/v3/watch", request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	scanner := bufio.NewScanner(answer.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxAnswerBytes)
	for scanner.Scan() {
		silenceTimer.Reset(maxWatchSilence)
		var message watchResponse
		if err := json.Unmarshal(scanner.Bytes(), &message); err != nil {
			return fmt.Errorf("%w: decode watch: %w", ErrUnavailable, err)
		}
		if message.Result.Canceled {
			return fmt.Errorf("%w: watch canceled", ErrUnavailable)
		}
		// A change before the creation of the watch causes no event, so changed is also called
		// once on creation.
		if message.Result.Created || len(message.Result.Events) > 0 {
			changed()
		}
	}
	return fmt.Errorf("%w: watch ended", ErrUnavailable)
}
