// Package openaibatch holds the records of batch jobs: files, jobs, segments and items.
package openaibatch
