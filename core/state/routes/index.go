package routes

import (
	"net"
	"strings"
)

// index finds the routes of a table by host, in lower case. It answers tables with thousands of routes, also below one host.
type index map[string]*hostIndex

// hostIndex holds the positions of the routes of one host.
type hostIndex struct {
	byPrefix  map[string]int // prefixes that end with a slash
	longest   int            // length of the longest of them: a path of a caller may have thousands of slashes
	irregular []int          // routes whose prefixes end otherwise
}

// newIndex returns the index of routes. Of several routes with the same host and prefix, the first one counts.
func newIndex(routes []Route) *index {
	index := index{}
	for i, route := range routes {
		name := strings.ToLower(HostName(route.Host))
		host := index[name]
		if host == nil {
			host = &hostIndex{byPrefix: map[string]int{}}
			index[name] = host
		}
		if !strings.HasSuffix(route.Prefix, "/") {
			host.irregular = append(host.irregular, i)
		} else if _, ok := host.byPrefix[route.Prefix]; !ok {
			host.byPrefix[route.Prefix] = i
			host.longest = max(host.longest, len(route.Prefix))
		}
	}
	return &index
}

// HostName returns a host, as in the Host field of a request, without its port.
func HostName(host string) (name string) {
	if !strings.Contains(host, ":") {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// Match returns the route for host whose prefix is the longest that path starts with. Hosts are compared without regard to
// case and port.
func (table *Table) Match(host, path string) (route Route, ok bool) {
	known := table.index.Load()
	if known == nil {
		known = newIndex(table.Routes)
		table.index.Store(known) // concurrent callers build the same
	}
	found := (*known)[strings.ToLower(HostName(host))]
	if found == nil {
		return route, false
	}
	for end := min(len(path), found.longest); end > 0; end-- {
		if end = strings.LastIndexByte(path[:end], '/') + 1; end == 0 {
			break
		}
		if i, exists := found.byPrefix[path[:end]]; exists {
			route, ok = table.Routes[i], true
			break
		}
	}
	for _, i := range found.irregular {
		if candidate := table.Routes[i]; strings.HasPrefix(path, candidate.Prefix) && (!ok || len(candidate.Prefix) > len(route.Prefix)) {
			route, ok = candidate, true
		}
	}
	return route, ok
}
