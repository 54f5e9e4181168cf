package etcd

import (
	"fmt"
	"strings"
)

// The keys of the system in the store. Everything that entries must learn of immediately is below WatchedPrefix, so that
// each entry needs only one watch.
const (
	WatchedPrefix     = "/cowslipway/live/"
	CurrentVersionKey = WatchedPrefix + "configuration" // number of the current configuration version
	EntriesPrefix     = WatchedPrefix + "entries/"
	ActiveJobsPrefix  = WatchedPrefix + "jobs/"
	PoisonPillPrefix  = WatchedPrefix + "poison/"
	DrainPrefix       = WatchedPrefix + "drain/"

	versionsPrefix    = "/cowslipway/versions/"
	claimsPrefix      = "/cowslipway/claims/"
	filesPrefix       = "/cowslipway/files/"
	uploadsPrefix     = "/cowslipway/data/"
	jobsPrefix        = "/cowslipway/jobs/"
	jobAccountsPrefix = "/cowslipway/job_owners/"
	segmentsPrefix    = "/cowslipway/segments/"
	resultsPrefix     = "/cowslipway/results/"
	ordersPrefix      = "/cowslipway/placements/"
)

// VersionKey returns the key of one version of the configuration.
func VersionKey(version int64) string { return fmt.Sprintf("%s%019d", versionsPrefix, version) }

// EntryKey returns the key that exists while the lease of an incarnation of an entry is alive.
func EntryKey(incarnation string) string { return EntriesPrefix + incarnation }

// ActiveJobKey returns the key that exists while a batch job is neither finished nor cancelled.
func ActiveJobKey(jobID string) string { return ActiveJobsPrefix + jobID }

// PoisonPillKey returns the key that marks the request with the given fingerprint as a poison pill.
func PoisonPillKey(fingerprint uint64) string {
	return fmt.Sprintf("%s%016x", PoisonPillPrefix, fingerprint)
}

// DrainKey returns the key that exists while an operator wants a target daemon to be drained.
func DrainKey(daemon string) string { return DrainPrefix + daemon }

// ClaimKey returns the key of the claim of a non-idempotent request.
func ClaimKey(account, digest string) string { return claimsPrefix + account + "/" + digest }

// FileKey returns the key of the record of a file.
func FileKey(account, fileID string) string { return AccountFilesPrefix(account) + fileID }

// AccountFilesPrefix returns the prefix of the keys of the files of a client account.
func AccountFilesPrefix(account string) string { return filesPrefix + account + "/" }

// UploadPrefix returns the prefix of the keys of the segments of an upload.
func UploadPrefix(upload string) string { return uploadsPrefix + upload + "/" }

// UploadSegmentKey returns the key of one segment of an upload.
func UploadSegmentKey(upload string, segment int) string {
	return fmt.Sprintf("%s%08d", UploadPrefix(upload), segment)
}

// JobKey returns the key of the record of a batch job.
func JobKey(account, jobID string) string { return AccountJobsPrefix(account) + jobID }

// JobAccountKey returns the key of the name of the client account that a batch job belongs to.
func JobAccountKey(jobID string) string { return jobAccountsPrefix + jobID }

// AccountJobsPrefix returns the prefix of the keys of the batch jobs of a client account.
func AccountJobsPrefix(account string) string { return jobsPrefix + account + "/" }

// SegmentsPrefix returns the prefix of the keys of the segments of a batch job.
func SegmentsPrefix(jobID string) string { return segmentsPrefix + jobID + "/" }

// SegmentKey returns the key of the record of one segment of a batch job.
func SegmentKey(jobID string, segment int) string {
	return fmt.Sprintf("%s%08d", SegmentsPrefix(jobID), segment)
}

// ResultKey returns the key of one chunk of a segment's results, written by the segment's owner in the given epoch.
func ResultKey(jobID string, segment int, epoch int64, chunk int) string {
	return fmt.Sprintf("%s%s/%08d/%08d-%06d", resultsPrefix, jobID, segment, epoch, chunk)
}

// OrderKey returns the key of the record of the last order to one target.
func OrderKey(target string) string { return ordersPrefix + target }

// LastElement returns the part of key after its last slash.
func LastElement(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }
