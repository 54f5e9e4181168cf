// Package engine speaks to model engines (the OpenAI-compatible interface) and to plain services.
package engine
