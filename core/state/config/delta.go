package config

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Delta is what changed between two versions of a configuration.
type Delta struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`

	Services []Service `json:"services,omitempty"` // new or changed
	Accounts []Account `json:"accounts,omitempty"`
	Rules    []Rule    `json:"rules,omitempty"`

	DroppedServices []string `json:"dropped_services,omitempty"`
	DroppedAccounts []string `json:"dropped_accounts,omitempty"`
	DroppedRules    []string `json:"dropped_rules,omitempty"`
}

// ErrOutOfOrder says that a delta does not follow on the version that it was applied to.
const ErrOutOfOrder = errors.ConstError("delta does not follow on this version")

func nameOfService(service Service) string { return service.Name }

func nameOfAccount(account Account) string { return account.Name }

func nameOfRule(rule Rule) string { return rule.Name }

// Diff returns what turns older into newer.
func Diff(older, newer Configuration) Delta {
	delta := Delta{From: older.Version, To: newer.Version}
	delta.Services, delta.DroppedServices = changes(older.Services, newer.Services, nameOfService)
	delta.Accounts, delta.DroppedAccounts = changes(older.Accounts, newer.Accounts, nameOfAccount)
	delta.Rules, delta.DroppedRules = changes(older.Rules, newer.Rules, nameOfRule)
	return delta
}

func changes[T any](older, newer []T, name func(T) string) (changed []T, dropped []string) {
	known := make(map[string]T, len(older))
	for _, item := range older {
		known[name(item)] = item
	}
	for _, item := range newer {
		old, ok := known[name(item)]
		delete(known, name(item))
		if !ok || !reflect.DeepEqual(old, item) {
			changed = append(changed, item)
		}
	}
	for lost := range known {
		dropped = append(dropped, lost)
	}
	slices.Sort(dropped)
	return changed, dropped
}

// WithDelta returns configuration with delta applied; it reports ErrOutOfOrder where delta follows on
// another version.
func (configuration Configuration) WithDelta(delta Delta) (newer Configuration, err error) {
	if delta.From != configuration.Version {
		return configuration, errors.Annotatef(ErrOutOfOrder, "from version %d on version %d", delta.From, configuration.Version)
	}
	newer = Configuration{
		Version:  delta.To,
		Services: merge(configuration.Services, delta.Services, delta.DroppedServices, nameOfService),
		Accounts: merge(configuration.Accounts, delta.Accounts, delta.DroppedAccounts, nameOfAccount),
		Rules:    merge(configuration.Rules, delta.Rules, delta.DroppedRules, nameOfRule),
	}
	return newer.Indexed(), nil
}

func merge[T any](base, changed []T, dropped []string, name func(T) string) (merged []T) {
	replaced := make(map[string]T, len(changed))
	for _, item := range changed {
		replaced[name(item)] = item
	}
	for _, item := range base {
		if slices.Contains(dropped, name(item)) {
			continue
		}
		if replacement, ok := replaced[name(item)]; ok {
			item = replacement
			delete(replaced, name(item))
		}
		merged = append(merged, item)
	}
	for _, item := range changed {
		if _, left := replaced[name(item)]; left {
			merged = append(merged, item)
		}
	}
	return merged
}

// String returns delta as lines for operators: "+" for new or changed, "-" for dropped.
func (delta Delta) String() string {
	var lines []string
	for _, service := range delta.Services {
		lines = append(lines, line("service", service))
	}
	for _, account := range delta.Accounts {
		lines = append(lines, line("account", account))
	}
	for _, rule := range delta.Rules {
		lines = append(lines, line("rule", rule))
	}
	lines = append(lines, drops("service", delta.DroppedServices)...)
	lines = append(lines, drops("account", delta.DroppedAccounts)...)
	lines = append(lines, drops("rule", delta.DroppedRules)...)
	return strings.Join(lines, "\n")
}

func line(kind string, item any) string {
	data, err := json.Marshal(item)
	if err != nil {
		return "+ " + kind + " ?"
	}
	return "+ " + kind + " " + string(data)
}

func drops(kind string, names []string) (lines []string) {
	for _, name := range names {
		lines = append(lines, "- "+kind+" "+name)
	}
	return lines
}
