package config

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Delta holds the differences between two versions of a configuration.
type Delta struct {
	From int64 `json:"from"` // version of the older configuration
	To   int64 `json:"to"`   // version of the newer configuration

	Services []Service `json:"services,omitempty"` // added or changed
	Accounts []Account `json:"accounts,omitempty"` // added or changed
	Rules    []Rule    `json:"rules,omitempty"`    // added or changed

	DroppedServices []string `json:"dropped_services,omitempty"` // names of the services
	DroppedAccounts []string `json:"dropped_accounts,omitempty"` // names of the accounts
	DroppedRules    []string `json:"dropped_rules,omitempty"`    // names of the rules
}

// ErrOutOfOrder reports that a delta was applied to another version than the one it starts from.
const ErrOutOfOrder = errors.ConstError("delta does not apply to this version")

func serviceName(service Service) string { return service.Name }

func accountName(account Account) string { return account.Name }

func ruleName(rule Rule) string { return rule.Name }

// Diff returns the delta that turns older into newer.
func Diff(older, newer Configuration) Delta {
	delta := Delta{From: older.Version, To: newer.Version}
	delta.Services, delta.DroppedServices = diffByName(older.Services, newer.Services, serviceName)
	delta.Accounts, delta.DroppedAccounts = diffByName(older.Accounts, newer.Accounts, accountName)
	delta.Rules, delta.DroppedRules = diffByName(older.Rules, newer.Rules, ruleName)
	return delta
}

// diffByName returns the items of newer that are new or differ from those in older, and the sorted names of the items that
// newer lacks.
func diffByName[T any](older, newer []T, name func(T) string) (changed []T, dropped []string) {
	remaining := make(map[string]T, len(older))
	for _, item := range older {
		remaining[name(item)] = item
	}
	for _, item := range newer {
		previous, ok := remaining[name(item)]
		delete(remaining, name(item))
		if !ok || !reflect.DeepEqual(previous, item) {
			changed = append(changed, item)
		}
	}
	for removed := range remaining {
		dropped = append(dropped, removed)
	}
	slices.Sort(dropped)
	return changed, dropped
}

// WithDelta returns configuration with delta applied. If delta starts from another version, WithDelta returns configuration
// unchanged and ErrOutOfOrder.
func (configuration Configuration) WithDelta(delta Delta) (newer Configuration, err error) {
	if delta.From != configuration.Version {
		return configuration, errors.Annotatef(ErrOutOfOrder, "applying a delta from version %d to version %d", delta.From, configuration.Version)
	}
	newer = Configuration{
		Version:  delta.To,
		Services: mergeByName(configuration.Services, delta.Services, delta.DroppedServices, serviceName),
		Accounts: mergeByName(configuration.Accounts, delta.Accounts, delta.DroppedAccounts, accountName),
		Rules:    mergeByName(configuration.Rules, delta.Rules, delta.DroppedRules, ruleName),
	}
	return newer.Indexed(), nil
}

// mergeByName returns base without the dropped items, with the changed items replaced and the new ones appended.
func mergeByName[T any](base, changed []T, dropped []string, name func(T) string) (merged []T) {
	pending := make(map[string]T, len(changed))
	for _, item := range changed {
		pending[name(item)] = item
	}
	for _, item := range base {
		if slices.Contains(dropped, name(item)) {
			continue
		}
		if replacement, ok := pending[name(item)]; ok {
			item = replacement
			delete(pending, name(item))
		}
		merged = append(merged, item)
	}
	for _, item := range changed {
		if _, added := pending[name(item)]; added {
			merged = append(merged, item)
		}
	}
	return merged
}

// String returns delta as lines for operators: "+" and the JSON form of each added or changed item, "-" and the name of each
// dropped item.
func (delta Delta) String() string {
	var lines []string
	for _, service := range delta.Services {
		lines = append(lines, formatChanged("service", service))
	}
	for _, account := range delta.Accounts {
		lines = append(lines, formatChanged("account", account))
	}
	for _, rule := range delta.Rules {
		lines = append(lines, formatChanged("rule", rule))
	}
	lines = append(lines, formatDropped("service", delta.DroppedServices)...)
	lines = append(lines, formatDropped("account", delta.DroppedAccounts)...)
	lines = append(lines, formatDropped("rule", delta.DroppedRules)...)
	return strings.Join(lines, "\n")
}

func formatChanged(kind string, item any) string {
	data, err := json.Marshal(item)
	if err != nil {
		return "+ " + kind + " ?"
	}
	return "+ " + kind + " " + string(data)
}

func formatDropped(kind string, names []string) (lines []string) {
	for _, name := range names {
		lines = append(lines, "- "+kind+" "+name)
	}
	return lines
}
