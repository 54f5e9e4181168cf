package fleet

import (
	"fmt"
	"testing"
)

// TestNewestAtAnAddress plays an engine that crashed and another one that took its address before the entry of the first
// has lapsed.
func TestNewestAtAnAddress(t *testing.T) {
	engines := []Engine{{ID: "old", Address: "a", ListedRevision: 3}, {ID: "new", Address: "a", ListedRevision: 9}, {ID: "other", Address: "b", ListedRevision: 1}}
	got := ""
	for _, engine := range NewestByAddress(engines) {
		got += fmt.Sprint(engine.ID, " ")
	}
	if got != "new other " {
		t.Errorf("engines %s", got)
	}
}
