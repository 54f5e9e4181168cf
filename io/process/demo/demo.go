package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cowslipway/core/state/config"
	"cowslipway/internal/fakeengine"
	"cowslipway/internal/testcluster"
)

// The names that the demo serves under.
const (
	APIKey      = "demo"
	ServiceName = "demo-llm"
	PlainName   = "notices"
)

// Demo is the whole system in one process.
type Demo struct {
	Listen string // HTTP address of the entry
	Out    io.Writer
	Log    *zap.Logger
}

// Run serves until ctx ends.
func (demo *Demo) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "running the demo") }()
	running := &testcluster.Cluster{
		Listen:        demo.Listen,
		Places:        []string{"place-a", "place-a", "place-b"},
		ModelService:  ServiceName,
		PlainService:  PlainName,
		Configuration: configuration(),
		EnginePerformance: fakeengine.Performance{
			Base:            5 * time.Millisecond,
			PerSequence:     50 * time.Microsecond,
			PerPrefillToken: 5 * time.Microsecond,
			MaxSequences:    64,
			CacheBlocks:     4096,
		},
		Log: demo.Log,
	}
	if err = running.Start(ctx); err != nil {
		return err
	}
	demo.announce(running.Listen)
	return running.Wait()
}

func (demo *Demo) announce(address string) {
	_, _ = fmt.Fprintf(demo.Out, "cowslipway demo is ready at http://%s with API key %q; try:\n", address, APIKey)
	_, _ = fmt.Fprintf(demo.Out, "  curl http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, APIKey, ServiceName)
	_, _ = fmt.Fprintf(demo.Out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, APIKey, ServiceName)
}

// configuration returns the declaration that the demo puts in force.
func configuration() config.Configuration {
	places := []string{"place-a", "place-b"}
	return config.Configuration{
		Services: []config.Service{
			{Name: ServiceName, Type: config.ModelService, Places: places},
			{Name: PlainName, Type: config.PlainService, Places: places, Routes: []config.Route{{Prefix: "/send", Idempotent: false}}},
		},
		Accounts: []config.Account{{
			Name:              "demo",
			KeysSHA256:        []string{config.KeyDigest(APIKey)},
			Services:          []string{ServiceName, PlainName},
			Weight:            1,
			RequestsPerSecond: 1e6,
			TokensPerSecond:   1e9,
			Operator:          true,
		}},
	}
}
