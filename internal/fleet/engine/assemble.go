package engine

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chunk is one event of a streamed completion, of either kind.
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

// answer is a whole completion of either kind.
type answer struct {
	ID                string         `json:"id"`
	Object            string         `json:"object"`
	Created           int64          `json:"created"`
	Model             string         `json:"model"`
	SystemFingerprint string         `json:"system_fingerprint,omitempty"`
	Choices           []answerChoice `json:"choices"`
	Usage             *Usage         `json:"usage,omitempty"`
}

type answerChoice struct {
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

// Assembler builds a whole answer from the events of a stream and counts its tokens.
type Assembler struct {
	chat   bool
	answer answer
	// Tokens counts the events with output; Usage, if reported, is exact.
	Tokens int
}

// NewAssembler creates an assembler for chat or for plain completions.
func NewAssembler(chat bool) *Assembler {
	object := "text_completion"
	if chat {
		object = "chat.completion"
	}
	return &Assembler{chat: chat, answer: answer{Object: object, Choices: []answerChoice{}}}
}

// Usage returns the counts that the engine reported, or nil.
func (a *Assembler) Usage() *Usage { return a.answer.Usage }

// Add takes one event.
func (a *Assembler) Add(e Event) error {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	a.answer.ID = c.ID
	a.answer.Created = c.Created
	a.answer.Model = c.Model
	a.answer.SystemFingerprint = c.SystemFingerprint
	if c.Usage != nil {
		a.answer.Usage = c.Usage
	}
	if len(c.Choices) > 0 {
		a.Tokens++
	}
	for _, part := range c.Choices {
		a.addChoice(part)
	}
	return nil
}

// Count takes one event for its token counts alone.
func (a *Assembler) Count(e Event) error {
	var c struct {
		Choices []struct{} `json:"choices"`
		Usage   *Usage     `json:"usage"`
	}
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	if c.Usage != nil {
		a.answer.Usage = c.Usage
	}
	if len(c.Choices) > 0 {
		a.Tokens++
	}
	return nil
}

func (a *Assembler) addChoice(part choice) {
	c := a.choice(part.Index)
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
		c.Message.addToolCall(call)
	}
}

func (a *Assembler) choice(index int) *answerChoice {
	for i := range a.answer.Choices {
		if a.answer.Choices[i].Index == index {
			return &a.answer.Choices[i]
		}
	}
	c := answerChoice{Index: index}
	if a.chat {
		c.Message = &message{Role: "assistant"}
	} else {
		c.Text = new(string)
	}
	a.answer.Choices = append(a.answer.Choices, c)
	return &a.answer.Choices[len(a.answer.Choices)-1]
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

func (m *message) addToolCall(part toolCall) {
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

// mergeLogProbs joins the lists of two log-probability objects key by key.
func mergeLogProbs(have, part json.RawMessage) json.RawMessage {
	var a, b map[string][]json.RawMessage
	if have == nil || json.Unmarshal(have, &a) != nil || json.Unmarshal(part, &b) != nil {
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

// Answer returns the whole completion as JSON.
func (a *Assembler) Answer() ([]byte, error) {
	slices.SortFunc(a.answer.Choices, func(x, y answerChoice) int { return x.Index - y.Index })
	body, err := json.Marshal(&a.answer)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return body, nil
}
