// Package engine implements a client of model engines, which serve the OpenAI API, and of plain HTTP services.
package engine
