package resumption

import (
	"slices"
	"time"

	"cowslipway/core/state/fleet"
)

const (
	// maxHistory is how long builds without engines are remembered; no stream lasts longer.
	maxHistory = time.Hour
	// lateService is how long engines may serve after their records are gone, for processes whose view is older.
	lateService = 15 * time.Second
)

// History remembers which builds the engines had lately. It must not be used concurrently.
type History struct {
	since  time.Time                 // no build was missed from then on; zero if the engines have not been listed
	listed map[fleet.Build]bool      // builds of the engines that are listed now
	gone   map[fleet.Build]time.Time // when the last engine of a build was removed from the list
}

// Restart records that all engines were listed at a time. Builds that came and went before it may have been missed.
func (history *History) Restart(at time.Time) {
	if at.After(history.since) {
		history.since = at
	}
}

// See records builds that engines had at some time, which may no longer be listed.
func (history *History) See(now time.Time, builds ...fleet.Build) {
	if history.gone == nil {
		history.gone = map[fleet.Build]time.Time{}
	}
	for _, build := range builds {
		if !history.listed[build] {
			history.gone[build] = now
		}
	}
}

// Observe replaces the engines that are listed. It returns the services with a build that was not listed before beside another one that is
// or was.
func (history *History) Observe(now time.Time, engines []fleet.Engine) (mixed []string) {
	if history.gone == nil {
		history.gone = map[fleet.Build]time.Time{}
	}
	before := history.listed
	listed := map[fleet.Build]bool{}
	for _, engine := range engines {
		listed[engine.Build()] = true
		delete(history.gone, engine.Build())
	}
	for build := range before {
		if !listed[build] {
			history.gone[build] = now
		}
	}
	history.listed = listed
	for build := range listed {
		if !before[build] && (hasOther(listed, build) || hasOther(before, build)) && !slices.Contains(mixed, build.Service) {
			mixed = append(mixed, build.Service)
		}
	}
	return mixed
}

// hasOther reports whether builds has another build of the same service.
func hasOther(builds map[fleet.Build]bool, build fleet.Build) bool {
	for other := range builds {
		if other.Service == build.Service && other != build {
			return true
		}
	}
	return false
}

// Versions returns the versions with which a service may have begun a stream that is not older than window at a time, as far as they are
// known. whole reports whether there are no others among those that were listed before the history was last brought up to date.
func (history *History) Versions(at time.Time, service string, window time.Duration) (versions []string, whole bool) {
	from := at.Add(-window - lateService)
	for build := range history.listed {
		if build.Service == service {
			versions = append(versions, build.Version)
		}
	}
	for build, gone := range history.gone {
		switch {
		case at.Sub(gone) > maxHistory:
			delete(history.gone, build)
		case build.Service == service && !gone.Before(from):
			versions = append(versions, build.Version)
		}
	}
	return versions, !history.since.IsZero() && !history.since.After(from)
}

// Sole returns the only version among Versions; ok reports whether there is one and no other.
func (history *History) Sole(at time.Time, service string, window time.Duration) (version string, ok bool) {
	versions, whole := history.Versions(at, service, window)
	if !whole || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}
