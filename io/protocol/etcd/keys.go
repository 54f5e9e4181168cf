package etcd

import (
	"fmt"
	"strings"
)

// The keys of the system in the store. All that daemons must hear of at once lies below WatchedPrefix, so that
// one watch an entry is enough.
const (
	WatchedPrefix     = "/cowslipway/live/"
	CurrentVersionKey = WatchedPrefix + "configuration"
	EntriesPrefix     = WatchedPrefix + "entries/"
	ActiveJobsPrefix  = WatchedPrefix + "jobs/"
	PoisonPillPrefix  = WatchedPrefix + "poison/"
	DrainPrefix       = WatchedPrefix + "drain/"

	versionsPrefix   = "/cowslipway/versions/"
	claimsPrefix     = "/cowslipway/claims/"
	filesPrefix      = "/cowslipway/files/"
	dataPrefix       = "/cowslipway/data/"
	jobsPrefix       = "/cowslipway/jobs/"
	jobOwnersPrefix  = "/cowslipway/job_owners/"
	segmentsPrefix   = "/cowslipway/segments/"
	resultsPrefix    = "/cowslipway/results/"
	placementsPrefix = "/cowslipway/placements/"
)

// VersionKey is where one version of the configuration lies.
func VersionKey(version int64) string { return fmt.Sprintf("%s%019d", versionsPrefix, version) }

// EntryKey is where an incarnation of an entry lies as long as its lease lives.
func EntryKey(incarnation string) string { return EntriesPrefix + incarnation }

// ActiveJobKey is where a batch job lies as long as it is neither finished nor cancelled.
func ActiveJobKey(jobID string) string { return ActiveJobsPrefix + jobID }

// PoisonPillKey is where the verdict about a request lies.
func PoisonPillKey(fingerprint uint64) string {
	return fmt.Sprintf("%s%016x", PoisonPillPrefix, fingerprint)
}

// DrainKey is where an operator's wish to drain a target daemon lies.
func DrainKey(daemon string) string { return DrainPrefix + daemon }

// ClaimKey is where the claim of a non-idempotent request lies.
func ClaimKey(account, digest string) string { return claimsPrefix + account + "/" + digest }

// FileKey is where the record of a file lies.
func FileKey(account, fileID string) string { return AccountFilesPrefix(account) + fileID }

// AccountFilesPrefix begins the keys of an account's files.
func AccountFilesPrefix(account string) string { return filesPrefix + account + "/" }

// UploadPrefix begins the keys of an upload's segments.
func UploadPrefix(upload string) string { return dataPrefix + upload + "/" }

// UploadSegmentKey is where one segment of an upload lies.
func UploadSegmentKey(upload string, segment int) string {
	return fmt.Sprintf("%s%08d", UploadPrefix(upload), segment)
}

// JobKey is where the record of a batch job lies.
func JobKey(account, jobID string) string { return AccountJobsPrefix(account) + jobID }

// JobAccountKey is where the account of a batch job lies.
func JobAccountKey(jobID string) string { return jobOwnersPrefix + jobID }

// AccountJobsPrefix begins the keys of an account's jobs.
func AccountJobsPrefix(account string) string { return jobsPrefix + account + "/" }

// SegmentsPrefix begins the keys of a job's segments.
func SegmentsPrefix(jobID string) string { return segmentsPrefix + jobID + "/" }

// SegmentKey is where the state of one segment of a job lies.
func SegmentKey(jobID string, segment int) string {
	return fmt.Sprintf("%s%08d", SegmentsPrefix(jobID), segment)
}

// ResultKey is where one part of a segment's results lies, written in one epoch.
func ResultKey(jobID string, segment int, epoch int64, part int) string {
	return fmt.Sprintf("%s%s/%08d/%08d-%06d", resultsPrefix, jobID, segment, epoch, part)
}

// OrderKey is where the placement of one target lies.
func OrderKey(target string) string { return placementsPrefix + target }

// LastElement returns the part of key behind its last slash.
func LastElement(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }
