package telemetry

import "sync"

// maxAccounts bounds the client accounts that metrics tell apart: a deployment has about a hundred, and may have thousands.
const maxAccounts = 300

// accountLabels holds the accounts that metrics tell apart.
var accountLabels struct {
	mutex sync.RWMutex
	names map[string]bool
}

// AccountLabel returns the label of a client account in metrics: its name for the first maxAccounts accounts, and one label for
// all others. All metrics tell the same accounts apart.
func AccountLabel(name string) (label string) {
	if name == "" {
		return "none"
	}
	accountLabels.mutex.RLock()
	known, full := accountLabels.names[name], len(accountLabels.names) >= maxAccounts
	accountLabels.mutex.RUnlock()
	if known {
		return name
	}
	if full {
		return otherLabel
	}
	accountLabels.mutex.Lock()
	defer accountLabels.mutex.Unlock()
	if accountLabels.names == nil {
		accountLabels.names = map[string]bool{}
	}
	if len(accountLabels.names) >= maxAccounts && !accountLabels.names[name] {
		return otherLabel
	}
	accountLabels.names[name] = true
	return name
}
