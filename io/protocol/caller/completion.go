package caller

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

const (
	bytesPerToken       = 4   // to estimate the number of tokens of a prompt
	defaultOutputTokens = 256 // assumed for a request that sets no maximum
	hashedPrefixBytes   = 512 // requests with the same prefix are preferably routed to the same target, whose cache may hold it
	maxOutputTokens     = 1 << 20
)

// Completion holds the fields of a completion request that determine its routing. The request's body is forwarded unchanged.
type Completion struct {
	Model      string
	Stream     bool
	Tokens     int64  // estimated number of tokens of prompt and response
	PrefixHash uint64 // hash of the first hashedPrefixBytes bytes of the prompt
}

// ParseCompletion parses the body of a chat completion request or a completion request.
func ParseCompletion(body []byte) (completion Completion, failure *Error) {
	if !gjson.ValidBytes(body) {
		return completion, InvalidRequest(http.StatusBadRequest, "invalid_json", "the body is not valid JSON")
	}
	fields := gjson.GetManyBytes(body, "model", "stream", "max_tokens", "max_completion_tokens", "messages", "prompt")
	model, stream, maxTokens, maxCompletionTokens, messages, prompt := fields[0], fields[1], fields[2], fields[3], fields[4], fields[5]
	if model.Type != gjson.String || model.Str == "" {
		return completion, InvalidRequest(http.StatusBadRequest, "missing_model", "\"model\" is missing; it names the service")
	}
	if stream.Exists() && !stream.IsBool() {
		return completion, InvalidRequest(http.StatusBadRequest, "invalid_stream", "\"stream\" is neither true nor false")
	}
	if !messages.IsArray() && !prompt.Exists() {
		return completion, InvalidRequest(http.StatusBadRequest, "missing_prompt", "\"messages\" or \"prompt\" is missing")
	}
	for _, field := range []gjson.Result{maxTokens, maxCompletionTokens} {
		if field.Exists() && (field.Int() < 1 || field.Int() > maxOutputTokens) {
			return completion, InvalidRequest(http.StatusBadRequest, "invalid_max_tokens", "\"max_tokens\" is %s; 1 to %d are allowed", field.Raw, maxOutputTokens)
		}
	}
	outputTokens := max(maxTokens.Int(), maxCompletionTokens.Int())
	if outputTokens == 0 {
		outputTokens = defaultOutputTokens
	}
	start := messages.Raw[:min(len(messages.Raw), hashedPrefixBytes)]
	start += prompt.Raw[:min(len(prompt.Raw), hashedPrefixBytes-len(start))]
	return Completion{
		Model:      model.Str,
		Stream:     stream.Bool(),
		Tokens:     int64((len(messages.Raw)+len(prompt.Raw))/bytesPerToken) + outputTokens,
		PrefixHash: xxhash.Sum64String(start),
	}, nil
}

// ParseTimeout parses the header field TimeoutHeader. It returns fallback if the field is absent.
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
