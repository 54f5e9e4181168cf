package resumption

import (
	"slices"
	"time"

	"cowslipway/core/state/fleet"
)

// History remembers which builds the engines had lately. It must not be used concurrently.
type History struct {
	started time.Time
	listed  map[fleet.Build]bool      // builds of the engines that are listed now
	gone    map[fleet.Build]time.Time // when the last engine of a build was removed from the list
}

// Observe replaces the engines that are listed. It returns the services with a build that was not listed before beside another one that is
// or was.
func (history *History) Observe(now time.Time, engines []fleet.Engine) (mixed []string) {
	if history.started.IsZero() {
		history.started, history.gone = now, map[fleet.Build]time.Time{}
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

// Sole returns the version that all engines of a service have had for a time; ok reports whether there is one. It is then the version
// that began any stream of the service that is not older. A process that has not run for that long cannot tell.
func (history *History) Sole(now time.Time, service string, window time.Duration) (version string, ok bool) {
	if history.started.IsZero() || now.Sub(history.started) < window {
		return "", false
	}
	found := map[string]bool{}
	for build := range history.listed {
		if build.Service == service {
			version, found[build.Version] = build.Version, true
		}
	}
	for build, at := range history.gone {
		switch {
		case now.Sub(at) > maxHistory:
			delete(history.gone, build)
		case build.Service == service && now.Sub(at) <= window:
			version, found[build.Version] = build.Version, true
		}
	}
	return version, len(found) == 1
}

// maxHistory is how long builds without engines are remembered; no stream lasts longer.
const maxHistory = time.Hour
