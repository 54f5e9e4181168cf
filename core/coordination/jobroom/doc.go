// Package jobroom bounds the records of batch jobs, which all members hold in memory, by what the smallest member has room for.
package jobroom
