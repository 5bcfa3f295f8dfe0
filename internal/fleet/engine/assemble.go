package engine

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Usage is the number of tokens that an engine reports for a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chunk is one event of a streamed chat or plain completion.
type chunk struct {
	ID                string   `json:"id"`
	Created           int64    `json:"created"`
	Model             string   `json:"model"`
	SystemFingerprint string   `json:"system_fingerprint"`
	Choices           []choice `json:"choices"`
	Usage             *Usage   `json:"usage"`
}

type choice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text"`
	Delta        delta           `json:"delta"`
	FinishReason *string         `json:"finish_reason"`
	LogProbs     json.RawMessage `json:"logprobs"`
}

type delta struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls"`
}

type toolCall struct {
	Index    int      `json:"index"`
	ID       string   `json:"id,omitempty"`
	Type     string   `json:"type,omitempty"`
	Function function `json:"function"`
}

type function struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// completion is a complete chat or plain completion.
type completion struct {
	ID                string             `json:"id"`
	Object            string             `json:"object"`
	Created           int64              `json:"created"`
	Model             string             `json:"model"`
	SystemFingerprint string             `json:"system_fingerprint,omitempty"`
	Choices           []completionChoice `json:"choices"`
	Usage             *Usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *message        `json:"message,omitempty"`
	FinishReason *string         `json:"finish_reason"`
	LogProbs     json.RawMessage `json:"logprobs"`
}

type message struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal,omitempty"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// Assembler merges the events of a stream into a complete answer and counts its tokens.
type Assembler struct {
	chat       bool
	completion completion
	// Tokens is the number of events with output. It approximates the number of generated
	// tokens; Usage is exact if the engine reports it.
	Tokens int
}

// NewAssembler creates an assembler for chat completions or for plain completions.
func NewAssembler(chat bool) *Assembler {
	object := "text_completion"
	if chat {
		object = "chat.completion"
	}
	return &Assembler{chat: chat, completion: completion{Object: object, Choices: []completionChoice{}}}
}

// Usage returns the token counts that the engine reported, or nil if it reported none.
func (a *Assembler) Usage() *Usage { return a.completion.Usage }

// Add merges one event into the answer and counts its tokens.
func (a *Assembler) Add(e Event) error {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	a.completion.ID = c.ID
	a.completion.Created = c.Created
	a.completion.Model = c.Model
	a.completion.SystemFingerprint = c.SystemFingerprint
	if c.Usage != nil {
		a.completion.Usage = c.Usage
	}
	if len(c.Choices) > 0 {
		a.Tokens++
	}
	for _, part := range c.Choices {
		a.mergeChoice(part)
	}
	return nil
}

// Count counts the tokens of one event without merging its content.
func (a *Assembler) Count(e Event) error {
	var c struct {
		Choices []struct{} `json:"choices"`
		Usage   *Usage     `json:"usage"`
	}
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if c.Usage != nil {
		a.completion.Usage = c.Usage
	}
	if len(c.Choices) > 0 {
		a.Tokens++
	}
	return nil
}

func (a *Assembler) mergeChoice(part choice) {
	c := a.choiceAt(part.Index)
	if part.FinishReason != nil {
		c.FinishReason = part.FinishReason
	}
	if len(part.LogProbs) > 0 && string(part.LogProbs) != "null" {
		c.LogProbs = mergeLogProbs(c.LogProbs, part.LogProbs)
	}
	if !a.chat {
		*c.Text += part.Text
		return
	}
	if part.Delta.Role != "" {
		c.Message.Role = part.Delta.Role
	}
	appendText(&c.Message.Content, part.Delta.Content)
	appendText(&c.Message.Refusal, part.Delta.Refusal)
	for _, call := range part.Delta.ToolCalls {
		c.Message.mergeToolCall(call)
	}
}

// choiceAt returns the choice with the index and adds it if it is missing.
func (a *Assembler) choiceAt(index int) *completionChoice {
	for i := range a.completion.Choices {
		if a.completion.Choices[i].Index == index {
			return &a.completion.Choices[i]
		}
	}
	c := completionChoice{Index: index}
	if a.chat {
		c.Message = &message{Role: "assistant"}
	} else {
		c.Text = new(string)
	}
	a.completion.Choices = append(a.completion.Choices, c)
	return &a.completion.Choices[len(a.completion.Choices)-1]
}

func appendText(to **string, part *string) {
	if part == nil {
		return
	}
	if *to == nil {
		*to = new(string)
	}
	**to += *part
}

// mergeToolCall appends a part of a tool call to the call with the same index.
func (m *message) mergeToolCall(part toolCall) {
	i := slices.IndexFunc(m.ToolCalls, func(c toolCall) bool { return c.Index == part.Index })
	if i < 0 {
		m.ToolCalls = append(m.ToolCalls, part)
		return
	}
	call := &m.ToolCalls[i]
	if part.ID != "" {
		call.ID = part.ID
	}
	if part.Type != "" {
		call.Type = part.Type
	}
	call.Function.Name += part.Function.Name
	call.Function.Arguments += part.Function.Arguments
}

// mergeLogProbs concatenates the lists of two log-probability objects key by key.
func mergeLogProbs(existing, part json.RawMessage) json.RawMessage {
	var a, b map[string][]json.RawMessage
	if existing == nil || json.Unmarshal(existing, &a) != nil || json.Unmarshal(part, &b) != nil {
		return part
	}
	for key, list := range b {
		a[key] = append(a[key], list...)
	}
	merged, err := json.Marshal(a)
	if err != nil {
		return part
	}
	return merged
}

// Answer returns the complete answer as JSON.
func (a *Assembler) Answer() ([]byte, error) {
	slices.SortFunc(a.completion.Choices, func(x, y completionChoice) int { return x.Index - y.Index })
	body, err := json.Marshal(&a.completion)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return body, nil
}
