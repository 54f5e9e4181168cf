package entry

import (
	"context"
	"net/http"
)

// startStore begins what needs the platform's key-value service.
func (entry *Entry) startStore(ctx context.Context) {
	if entry.store == nil {
		return
	}
	go entry.followConfiguration(ctx)
}

func (entry *Entry) listClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}
