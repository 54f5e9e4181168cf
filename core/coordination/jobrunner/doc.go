// Package jobrunner decides who runs a batch job, which item runs next, and what is written when: results are gathered,
// written under the owner's epoch and never twice. It needs no network and no clock.
package jobrunner
