package caller

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

const (
	bytesPerToken    = 4
	defaultMaxTokens = 256
	prefixBytes      = 512 // of the prompt, which decide where its cache may be
	maxTokens        = 1 << 20
)

// Completion is what the system needs to know of a completion request; the body is passed on unchanged.
type Completion struct {
	Model      string
	Stream     bool
	Tokens     int64  // estimate of prompt and answer
	PrefixHash uint64 // hash of the beginning of the prompt
}

// ParseCompletion reads the body of a chat completion or a completion.
func ParseCompletion(body []byte) (completion Completion, failure *Error) {
	if !gjson.ValidBytes(body) {
		return completion, InvalidRequest(http.StatusBadRequest, "invalid_json", "the body is not valid JSON")
	}
	fields := gjson.GetManyBytes(body, "model", "stream", "max_tokens", "max_completion_tokens", "messages", "prompt")
	model, stream, limit, otherLimit, messages, prompt := fields[0], fields[1], fields[2], fields[3], fields[4], fields[5]
	if model.Type != gjson.String || model.Str == "" {
		return completion, InvalidRequest(http.StatusBadRequest, "missing_model", "\"model\" is missing; it names the service")
	}
	if stream.Exists() && !stream.IsBool() {
		return completion, InvalidRequest(http.StatusBadRequest, "invalid_stream", "\"stream\" is neither true nor false")
	}
	if !messages.IsArray() && !prompt.Exists() {
		return completion, InvalidRequest(http.StatusBadRequest, "missing_prompt", "\"messages\" or \"prompt\" is missing")
	}
	for _, field := range []gjson.Result{limit, otherLimit} {
		if field.Exists() && (field.Int() < 1 || field.Int() > maxTokens) {
			return completion, InvalidRequest(http.StatusBadRequest, "invalid_max_tokens", "\"max_tokens\" is %s; 1 to %d are allowed", field.Raw, maxTokens)
		}
	}
	wanted := max(limit.Int(), otherLimit.Int())
	if wanted == 0 {
		wanted = defaultMaxTokens
	}
	text := messages.Raw + prompt.Raw
	return Completion{
		Model:      model.Str,
		Stream:     stream.Bool(),
		Tokens:     int64(len(text)/bytesPerToken) + wanted,
		PrefixHash: xxhash.Sum64String(text[:min(len(text), prefixBytes)]),
	}, nil
}

// ParseTimeout reads the time that a caller has left; without the header field it is fallback.
func ParseTimeout(header http.Header, fallback time.Duration) (timeout time.Duration, failure *Error) {
	text := header.Get(TimeoutHeader)
	if text == "" {
		return fallback, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > time.Hour {
		return 0, InvalidRequest(http.StatusBadRequest, "invalid_timeout", "%s is %q; a duration above 0s and up to 1h is allowed, such as 2.5s", TimeoutHeader, text)
	}
	return timeout, nil
}
