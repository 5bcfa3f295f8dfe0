package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/engine"
	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// bytesPerToken is used to estimate the number of tokens of a prompt.
	bytesPerToken = 4
	// defaultOutputTokens is assumed if the caller sets no limit.
	defaultOutputTokens = 512
	maxOutputTokens     = 1 << 20
	// writeTimeout bounds the time that a caller may take to read one event.
	writeTimeout = 30 * time.Second
)

// prefixSizes are the lengths in bytes of the prompt prefixes that are hashed.
var prefixSizes = []int{512, 2048, 8192, 32768, 131072}

// completionRequest holds the fields of a completion request that this package uses.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// completion is the state of a completion request while it is served.
type completion struct {
	*request
	completionRequest
	chat  bool
	path  string
	route object.ModelRoute
	body  []byte // The body that is sent to the engine.

	target     *object.Target
	stream     *engine.Stream
	assembler  *engine.Assembler
	sentAt     time.Time
	firstToken time.Time
}

// models answers with the list of models.
func (s *Server) models(c *gin.Context, r *request) error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, name := range r.snapshot.Models() {
		list = append(list, model{ID: string(name), Object: "model", OwnedBy: "redwinglock"})
	}
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": list})
	return nil
}

// completion serves a chat or text completion, as a stream or as one answer.
func (s *Server) completion(c *gin.Context, r *request) error {
	job, err := newCompletion(c, r)
	if err != nil {
		return err
	}
	claim, replayed, err := s.claim(c, r, r.nonIdempotent)
	if err != nil || replayed {
		return err
	}
	err = s.runCompletion(c, job)
	claim.end(err, nil)
	return err
}

func newCompletion(c *gin.Context, r *request) (*completion, error) {
	job := &completion{request: r, path: c.FullPath(), chat: strings.HasSuffix(c.FullPath(), "/chat/completions")}
	if err := json.Unmarshal(r.body, &job.completionRequest); err != nil {
		return nil, describeJSON(err)
	}
	if job.Model == "" {
		return nil, outcome.Invalid("model", "is missing")
	}
	prompt, field := job.Prompt, "prompt"
	if job.chat {
		prompt, field = job.Messages, "messages"
	}
	if len(prompt) == 0 || string(prompt) == "null" {
		return nil, outcome.Invalid(field, "is missing")
	}
	if n := job.outputTokens(); n < 1 || n > maxOutputTokens {
		return nil, outcome.Invalid("max_tokens", "%d is not between 1 and %d", n, maxOutputTokens)
	}
	route, found := r.snapshot.ModelRoute(job.Model)
	if !found {
		failure := outcome.Failure{Outcome: outcome.NotRun, Reason: outcome.UnknownModel, Field: "model", Message: "model: does not exist"}
		return nil, failure.Err()
	}
	job.route = route
	return job, job.rewrite()
}

// describeJSON returns the failure for a body that cannot be decoded. It names the field with the
// wrong type, if that is the cause.
func describeJSON(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return outcome.Invalid(typeError.Field, "has the wrong type")
	}
	return outcome.Invalid("body", "is not a JSON object")
}

// rewrite builds the body for the engine. It sets the name under which the engine serves the model,
// and always requests a stream, so that a stalled engine is detected and the answer can be resumed.
func (job *completion) rewrite() error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(job.request.body, &fields); err != nil {
		return describeJSON(err)
	}
	model, err := json.Marshal(job.route.ServedName)
	if err != nil {
		return outcome.Invalid("model", "cannot be encoded")
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	job.body, err = json.Marshal(fields)
	if err != nil {
		return outcome.Invalid("body", "cannot be encoded")
	}
	return nil
}

func (job *completion) outputTokens() int {
	switch {
	case job.MaxCompletionTokens != nil:
		return *job.MaxCompletionTokens
	case job.MaxTokens != nil:
		return *job.MaxTokens
	}
	return defaultOutputTokens
}

func (job *completion) prompt() []byte {
	if job.chat {
		return job.Messages
	}
	return job.Prompt
}

func (job *completion) registration() wire.Register {
	w := job.request.registration(job.route.Pool.Name)
	prompt := job.prompt()
	w.PromptTokens = len(prompt)/bytesPerToken + 1
	w.OutputTokens = job.outputTokens()
	w.Prefixes = prefixHashes(job.route.ServedName, prompt)
	return w
}

// prefixHashes returns the hashes of the prefixes of a prompt, the shortest first.
func prefixHashes(model string, prompt []byte) []wire.PrefixHash {
	var hashes []wire.PrefixHash
	digest := fnv.New64a()
	digest.Write([]byte(model))
	hashed := 0
	for _, size := range prefixSizes {
		if len(prompt) < size {
			break
		}
		digest.Write(prompt[hashed:size])
		hashed = size
		hashes = append(hashes, wire.PrefixHash(digest.Sum64()))
	}
	return hashes
}

func (s *Server) runCompletion(c *gin.Context, job *completion) error {
	ctx, cancel := job.context(c)
	defer cancel()
	runCtx, ticket, err := s.dispatch(ctx, job.request, job.registration(), func(ctx context.Context, target *object.Target, gate engine.Gate) error {
		job.target = target
		job.sentAt = time.Now()
		stream, err := s.engines.Open(ctx, engine.Call{
			ID:          job.id,
			Address:     target.Address,
			Path:        job.path,
			Body:        job.body,
			IdleTimeout: time.Duration(job.route.Pool.IdleTimeout),

			SilenceTimeout: time.Duration(job.route.Pool.SilenceTimeout),
		}, gate)
		job.stream = stream
		return err
	})
	if ticket == nil {
		return err
	}
	if err != nil {
		ticket.Finish(wire.Finish{})
		return s.answerOpenError(c, runCtx, job, err)
	}
	job.assembler = engine.NewAssembler(job.chat)
	c.Header(HeaderTarget, string(job.target.Name))
	c.Header(HeaderPool, string(job.route.Pool.Name))
	if job.Stream {
		err = s.relay(c, job)
	} else {
		err = s.collect(c, job)
	}
	_ = job.stream.Close()
	s.reportFinish(ticket, job, err)
	if err == nil {
		return nil
	}
	err = withCancelCause(runCtx, err)
	if c.Writer.Written() {
		s.failInStream(c, job, err)
	}
	return err
}

// answerOpenError handles the error of a stream that could not be opened. It forwards a client error
// of the engine to the caller as it is, except for status 429, and returns any other error.
func (s *Server) answerOpenError(c *gin.Context, ctx context.Context, job *completion, err error) error {
	var rejection *engine.Rejection
	if !errors.As(err, &rejection) {
		return withCancelCause(ctx, err)
	}
	clientError := rejection.Status >= 400 && rejection.Status < 500 && rejection.Status != http.StatusTooManyRequests
	if body := rejectionJSON(rejection.Body); clientError && body != nil {
		job.log.WithField("status", rejection.Status).Info("Engine rejected the request.")
		c.Header(HeaderShouldRetry, "false")
		c.Data(rejection.Status, "application/json", body)
		return nil
	}
	return outcome.NotCompleted(outcome.Unknown, outcome.TargetRefused, "the engine answered with status %d", rejection.Status)
}

// reportFinish reports the usage and the times of a request to the arbiter and records its metrics.
func (s *Server) reportFinish(ticket *arbiter.Ticket, job *completion, err error) {
	now := time.Now()
	f := wire.Finish{Completed: err == nil, OutputTokens: job.assembler.Tokens, PromptTokens: len(job.prompt())/bytesPerToken + 1}
	if usage := job.assembler.Usage(); usage != nil {
		f.PromptTokens = usage.PromptTokens
		f.OutputTokens = usage.CompletionTokens
	}
	if !job.firstToken.IsZero() {
		f.FirstTokenMS = job.firstToken.Sub(job.sentAt).Milliseconds()
		if f.OutputTokens > 1 {
			f.DecodeUS = now.Sub(job.firstToken).Microseconds() / int64(f.OutputTokens-1)
		}
	}
	ticket.Finish(f)
	scope := s.scope(job.request, job.route.Pool.Name)
	if err != nil {
		scope.Counter("wasted_prefill_tokens").Inc(int64(f.PromptTokens))
		return
	}
	scope.Counter("completed").Inc(1)
	scope.Counter("output_tokens").Inc(int64(f.OutputTokens))
	scope.Timer("first_token").Record(job.firstToken.Sub(job.arrived))
	job.log.WithFields(logrus.Fields{"target": job.target.Name, "output-tokens": f.OutputTokens}).Info("Request completed.")
}

// collect reads the complete answer and then sends it to the caller.
func (s *Server) collect(c *gin.Context, job *completion) error {
	for {
		event, err := job.stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		job.recordFirstToken()
		if err := job.assembler.Add(event); err != nil {
			return outcome.NotCompleted(outcome.Incomplete, outcome.TargetInvalidResponse, "the engine sent an event that cannot be read")
		}
	}
	body, err := job.assembler.Answer()
	if err != nil {
		return outcome.NotCompleted(outcome.Incomplete, outcome.TargetInvalidResponse, "the answer cannot be encoded")
	}
	c.Data(http.StatusOK, "application/json", body)
	return nil
}

// relay forwards events to the caller as they arrive.
func (s *Server) relay(c *gin.Context, job *completion) error {
	control := http.NewResponseController(c.Writer)
	var buffer bytes.Buffer
	for {
		event, err := job.stream.Next()
		if errors.Is(err, io.EOF) {
			event.Data = []byte("[DONE]")
		} else if err != nil {
			return err
		} else {
			job.recordFirstToken()
			if err := job.assembler.Count(event); err != nil {
				return outcome.NotCompleted(outcome.Incomplete, outcome.TargetInvalidResponse, "the engine sent an event that cannot be read")
			}
		}
		if !c.Writer.Written() {
			c.Header("Content-Type", "text/event-stream")
			c.Header("Cache-Control", "no-cache")
			c.Status(http.StatusOK)
		}
		buffer.Reset()
		buffer.WriteString("data: ")
		buffer.Write(event.Data)
		buffer.WriteString("\n\n")
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, writeErr := c.Writer.Write(buffer.Bytes()); writeErr != nil {
			return outcome.NotCompleted(outcome.Incomplete, outcome.CallerDisconnected, "the caller closed the connection")
		}
		c.Writer.Flush()
		if err != nil {
			return nil
		}
	}
}

// recordFirstToken stores the time of the first event.
func (job *completion) recordFirstToken() {
	if job.firstToken.IsZero() {
		job.firstToken = time.Now()
	}
}

// failInStream ends a started stream by an error event. It leaves out the final event, so that no
// client mistakes the stream for a complete answer.
func (s *Server) failInStream(c *gin.Context, job *completion, err error) {
	failure := outcome.FailureOf(err)
	s.countFailure(job.request, failure)
	body, marshalErr := json.Marshal(newErrorBody(failure))
	if marshalErr != nil {
		return
	}
	_, _ = c.Writer.Write([]byte("data: " + string(body) + "\n\n"))
	c.Writer.Flush()
}
