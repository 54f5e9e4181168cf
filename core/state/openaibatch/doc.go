// Package openaibatch holds the stored records of the OpenAI batch interface: files, batch jobs and segments.
package openaibatch
