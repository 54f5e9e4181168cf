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

// API key and services of the demo.
const (
	APIKey           = "demo"
	ServiceName      = "demo-llm"
	PlainServiceName = "notices" // a config.PlainService: serves HTTP requests other than those to models
)

// Demo runs the whole system in one process.
type Demo struct {
	Listen string      // HTTP address of the entry
	Out    io.Writer   // receives the address, the API key and example commands
	Log    *zap.Logger // log of all processes of the system
}

// Run runs the demo until ctx ends.
func (demo *Demo) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "running the demo") }()
	cluster := &testcluster.Cluster{
		Listen:        demo.Listen,
		Places:        []string{"place-a", "place-a", "place-b"},
		ModelService:  ServiceName,
		PlainService:  PlainServiceName,
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
	if err = cluster.Start(ctx); err != nil {
		return err
	}
	demo.printExamples(cluster.Listen)
	return cluster.Wait()
}

// printExamples prints how to send requests to the entry at address.
func (demo *Demo) printExamples(address string) {
	_, _ = fmt.Fprintf(demo.Out, "cowslipway demo is ready at http://%s with API key %q; try:\n", address, APIKey)
	_, _ = fmt.Fprintf(demo.Out, "  curl http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, APIKey, ServiceName)
	_, _ = fmt.Fprintf(demo.Out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, APIKey, ServiceName)
}

// configuration returns the configuration of the demo.
func configuration() config.Configuration {
	places := []string{"place-a", "place-b"}
	return config.Configuration{
		Services: []config.Service{
			{Name: ServiceName, Type: config.ModelService, Places: places},
			{Name: PlainServiceName, Type: config.PlainService, Places: places, Routes: []config.Route{{Prefix: "/send", Idempotent: false}}},
		},
		Accounts: []config.Account{{
			Name:              "demo",
			KeysSHA256:        []string{config.KeyDigest(APIKey)},
			Services:          []string{ServiceName, PlainServiceName},
			Weight:            1,
			RequestsPerSecond: 1e6,
			TokensPerSecond:   1e9,
			Operator:          true,
		}},
	}
}
