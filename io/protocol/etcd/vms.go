package etcd

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// ListVMs reads the platform's list of live and leaving VMs from the URL address. The list lags behind the actual state.
func ListVMs(ctx context.Context, client *http.Client, address string) (vms []VM, err error) {
	defer func() { err = errors.Annotate(err, "reading the list of VMs") }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	return vms, json.NewDecoder(response.Body).Decode(&vms)
}
